package fakes

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// PlainInstance stands in for one instance of a plain service. All instances of
// a platform share an ExecutionCounter.
type PlainInstance struct {
	host       string
	executions *ExecutionCounter
	speed      Speed

	mutex       sync.Mutex
	fault       EndpointFault
	incarnation int
}

// ExecutionCounter counts the executions of each idempotency key, which shows
// whether a call ran more than once.
type ExecutionCounter struct {
	mutex  sync.Mutex
	counts map[string]int
}

// NewExecutionCounter returns an empty counter.
func NewExecutionCounter() *ExecutionCounter { return &ExecutionCounter{counts: map[string]int{}} }

// increment counts an execution of a key and returns the number so far.
func (executioncounter *ExecutionCounter) increment(key string) int {
	executioncounter.mutex.Lock()
	defer executioncounter.mutex.Unlock()
	executioncounter.counts[key]++
	return executioncounter.counts[key]
}

// Executions returns the number of executions of a key.
func (executioncounter *ExecutionCounter) Executions(key string) int {
	executioncounter.mutex.Lock()
	defer executioncounter.mutex.Unlock()
	return executioncounter.counts[key]
}

// Duplicates returns the number of keys executed more than once and the number of
// all keys.
func (executioncounter *ExecutionCounter) Duplicates() (int, int) {
	executioncounter.mutex.Lock()
	defer executioncounter.mutex.Unlock()
	duplicates := 0
	for _, count := range executioncounter.counts {
		if count > 1 {
			duplicates++
		}
	}
	return duplicates, len(executioncounter.counts)
}

// NewPlainInstance returns an instance without a fault.
func NewPlainInstance(host string, executioncounter *ExecutionCounter, speed Speed) *PlainInstance {
	return &PlainInstance{host: host, executions: executioncounter, speed: speed, incarnation: 1}
}

// SetFault replaces the instance's fault.
func (plaininstance *PlainInstance) SetFault(fault EndpointFault) {
	plaininstance.mutex.Lock()
	defer plaininstance.mutex.Unlock()
	plaininstance.fault = fault
}

// shouldDropResponse reports whether the response of the current call is dropped. If
// so, it decrements LoseAnswers.
func (plaininstance *PlainInstance) shouldDropResponse() bool {
	plaininstance.mutex.Lock()
	defer plaininstance.mutex.Unlock()
	if plaininstance.fault.LoseAnswers == 0 {
		return false
	}
	plaininstance.fault.LoseAnswers--
	return true
}

// receipt is a plain instance's response. It describes the call received. Run is
// the number of executions of its idempotency key so far, or 0 without a key.
type receipt struct {
	Host   string `json:"host"`
	Method string `json:"method"`
	Path   string `json:"path"`
	Key    string `json:"key"`
	Run    int    `json:"run"`
	Bytes  int    `json:"bytes"`
	Pad    string `json:"pad,omitempty"`
}

// ServeHTTP serves the status, or executes one call and responds with a receipt. A
// call whose response is dropped has been executed.
func (plaininstance *PlainInstance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	plaininstance.mutex.Lock()
	fault := plaininstance.fault
	plaininstance.mutex.Unlock()
	if fault.Dead {
		panic(http.ErrAbortHandler)
	}
	if fault.Paused {
		waitForDisconnect(r)
		return
	}
	if r.URL.Path == "/status" {
		writeJSON(w, http.StatusOK, Status{Host: plaininstance.host, Incarnation: plaininstance.host + "-1", Ready: true})
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(plaininstance.speed.ProcessingTime)
	key := r.Header.Get("Idempotency-Key")
	receipt := receipt{Host: plaininstance.host, Method: r.Method, Path: r.URL.Path, Key: key, Bytes: len(body), Pad: strings.Repeat("x", fault.PadBytes)}
	if key != "" {
		receipt.Run = plaininstance.executions.increment(key)
	}
	if plaininstance.shouldDropResponse() {
		panic(http.ErrAbortHandler)
	}
	status := http.StatusOK
	if r.Method == http.MethodPost {
		status = http.StatusCreated
	}
	writeJSON(w, status, receipt)
}
