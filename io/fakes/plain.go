package fakes

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// PlainInstance stands in for one instance of a plain service. All instances of a
// service share a Ledger, which counts what ran.
type PlainInstance struct {
	host   string
	ledger *ExecutionCounter
	speed  Speed

	mutex       sync.Mutex
	fault       EndpointFault
	incarnation int
}

// ExecutionCounter counts the runs of each idempotency key; it judges whether a call ran
// more than once.
type ExecutionCounter struct {
	mutex sync.Mutex
	runs  map[string]int
}

// NewExecutionCounter makes an empty ledger.
func NewExecutionCounter() *ExecutionCounter { return &ExecutionCounter{runs: map[string]int{}} }

func (executioncounter *ExecutionCounter) run(key string) int {
	executioncounter.mutex.Lock()
	defer executioncounter.mutex.Unlock()
	executioncounter.runs[key]++
	return executioncounter.runs[key]
}

// Executions gives how often a key ran.
func (executioncounter *ExecutionCounter) Executions(key string) int {
	executioncounter.mutex.Lock()
	defer executioncounter.mutex.Unlock()
	return executioncounter.runs[key]
}

// Duplicates counts the keys that ran more than once, and all keys.
func (executioncounter *ExecutionCounter) Duplicates() (int, int) {
	executioncounter.mutex.Lock()
	defer executioncounter.mutex.Unlock()
	doubled := 0
	for _, runs := range executioncounter.runs {
		if runs > 1 {
			doubled++
		}
	}
	return doubled, len(executioncounter.runs)
}

// NewPlainInstance makes an instance.
func NewPlainInstance(host string, executioncounter *ExecutionCounter, speed Speed) *PlainInstance {
	return &PlainInstance{host: host, ledger: executioncounter, speed: speed, incarnation: 1}
}

// SetFault changes what is wrong with the instance.
func (plaininstance *PlainInstance) SetFault(fault EndpointFault) {
	plaininstance.mutex.Lock()
	defer plaininstance.mutex.Unlock()
	plaininstance.fault = fault
}

// loseAnswer tells whether this call's answer gets lost.
func (plaininstance *PlainInstance) loseAnswer() bool {
	plaininstance.mutex.Lock()
	defer plaininstance.mutex.Unlock()
	if plaininstance.fault.LoseAnswers == 0 {
		return false
	}
	plaininstance.fault.LoseAnswers--
	return true
}

type receipt struct {
	Host   string `json:"host"`
	Method string `json:"method"`
	Path   string `json:"path"`
	Key    string `json:"key"`
	Run    int    `json:"run"`
	Bytes  int    `json:"bytes"`
	Pad    string `json:"pad,omitempty"`
}

// ServeHTTP runs one call and answers with a receipt.
func (plaininstance *PlainInstance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	plaininstance.mutex.Lock()
	fault := plaininstance.fault
	plaininstance.mutex.Unlock()
	if fault.Dead {
		panic(http.ErrAbortHandler)
	}
	if fault.Paused {
		hang(r)
		return
	}
	if r.URL.Path == "/status" {
		answerJSON(w, http.StatusOK, Status{Host: plaininstance.host, Incarnation: plaininstance.host + "-1", Ready: true})
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(plaininstance.speed.ProcessingTime)
	key := r.Header.Get("Idempotency-Key")
	answer := receipt{Host: plaininstance.host, Method: r.Method, Path: r.URL.Path, Key: key, Bytes: len(body), Pad: strings.Repeat("x", fault.PadBytes)}
	if key != "" {
		answer.Run = plaininstance.ledger.run(key)
	}
	if plaininstance.loseAnswer() {
		panic(http.ErrAbortHandler)
	}
	status := http.StatusOK
	if r.Method == http.MethodPost {
		status = http.StatusCreated
	}
	answerJSON(w, status, answer)
}
