package fakes

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Plain stands in for one instance of a plain service. All instances of a
// service share a Ledger, which counts what ran.
type Plain struct {
	host   string
	ledger *Ledger
	speed  Speed

	mutex       sync.Mutex
	fault       EndpointFault
	incarnation int
}

// Ledger counts the runs of each idempotency key; it judges whether a call ran
// more than once.
type Ledger struct {
	mutex sync.Mutex
	runs  map[string]int
}

// NewLedger makes an empty ledger.
func NewLedger() *Ledger { return &Ledger{runs: map[string]int{}} }

func (ledger *Ledger) run(key string) int {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	ledger.runs[key]++
	return ledger.runs[key]
}

// Runs gives how often a key ran.
func (ledger *Ledger) Runs(key string) int {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	return ledger.runs[key]
}

// Doubled counts the keys that ran more than once, and all keys.
func (ledger *Ledger) Doubled() (int, int) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	doubled := 0
	for _, runs := range ledger.runs {
		if runs > 1 {
			doubled++
		}
	}
	return doubled, len(ledger.runs)
}

// NewPlain makes an instance.
func NewPlain(host string, ledger *Ledger, speed Speed) *Plain {
	return &Plain{host: host, ledger: ledger, speed: speed, incarnation: 1}
}

// SetFault changes what is wrong with the instance.
func (plain *Plain) SetFault(fault EndpointFault) {
	plain.mutex.Lock()
	defer plain.mutex.Unlock()
	plain.fault = fault
}

// loseAnswer tells whether this call's answer gets lost.
func (plain *Plain) loseAnswer() bool {
	plain.mutex.Lock()
	defer plain.mutex.Unlock()
	if plain.fault.LoseAnswers == 0 {
		return false
	}
	plain.fault.LoseAnswers--
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
func (plain *Plain) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	plain.mutex.Lock()
	fault := plain.fault
	plain.mutex.Unlock()
	if fault.Dead {
		panic(http.ErrAbortHandler)
	}
	if fault.Paused {
		hang(r)
		return
	}
	if r.URL.Path == "/status" {
		answerJSON(w, http.StatusOK, Status{Host: plain.host, Incarnation: plain.host + "-1", Ready: true})
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(plain.speed.ProcessingTime)
	key := r.Header.Get("Idempotency-Key")
	answer := receipt{Host: plain.host, Method: r.Method, Path: r.URL.Path, Key: key, Bytes: len(body), Pad: strings.Repeat("x", fault.PadBytes)}
	if key != "" {
		answer.Run = plain.ledger.run(key)
	}
	if plain.loseAnswer() {
		panic(http.ErrAbortHandler)
	}
	status := http.StatusOK
	if r.Method == http.MethodPost {
		status = http.StatusCreated
	}
	answerJSON(w, status, answer)
}
