package fakes

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Command tells an engine its place in a replica; an empty Replica releases it.
type Command struct {
	FencingNumber int64    `json:"fence"`
	Epoch         int64    `json:"epoch"`
	Replica       string   `json:"replica"`
	Rank          int      `json:"rank"`
	Members       []string `json:"members"`
	Model         string   `json:"model"`
	Version       string   `json:"version"`
}

// Status is what an engine says of itself; Running and Waiting lag.
type Status struct {
	Host        string `json:"host"`
	Incarnation string `json:"incarnation"`
	Replica     string `json:"replica"`
	Epoch       int64  `json:"epoch"`
	Rank        int    `json:"rank"`
	Model       string `json:"model"`
	Version     string `json:"version"`
	Ready       bool   `json:"ready"`
	Running     int    `json:"running"`
	Waiting     int    `json:"waiting"`
}

// Engine stands in for one model runner on one host.
type Engine struct {
	host          string
	speed         Speed
	checksFencing bool
	weights       *WeightStore
	peers         func(host string) *Engine

	mutex       sync.Mutex
	fault       EndpointFault
	incarnation int
	order       Command
	readyAt     time.Time
	loaded      string
	reportedAt  time.Time
	reported    Status
	batch       *batch
	served      int64
}

// NewEngine makes an idle engine; peers finds the engines of other hosts.
func NewEngine(host string, speed Speed, checksFencing bool, weightstore *WeightStore, peers func(string) *Engine) *Engine {
	engine := &Engine{
		host: host, speed: speed, checksFencing: checksFencing,
		weights: weightstore, peers: peers, incarnation: 1,
	}
	engine.begin()
	return engine
}

func (engine *Engine) begin() {
	engine.batch = newBatch(engine.speed, engine.whole, engine.slowdown)
	go engine.batch.run()
}

// Stop ends the engine's work.
func (engine *Engine) Stop() {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	close(engine.batch.stop)
}

// Restart makes the engine a new incarnation that remembers nothing.
func (engine *Engine) Restart() {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	close(engine.batch.stop)
	engine.incarnation++
	engine.order = Command{}
	engine.loaded = ""
	engine.fault = EndpointFault{}
	engine.begin()
}

// SetFault changes what is wrong with the engine.
func (engine *Engine) SetFault(fault EndpointFault) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.fault = fault
}

func (engine *Engine) slowdown() float64 {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return max(engine.fault.Slowdown, 1)
}

// whole tells whether every member of the replica is alive and in its place;
// a replica that lacks one gives no tokens.
func (engine *Engine) whole() bool {
	engine.mutex.Lock()
	command, sick := engine.order, engine.fault.Dead || engine.fault.Paused
	engine.mutex.Unlock()
	if sick {
		return false
	}
	for _, member := range command.Members {
		if member == engine.host {
			continue
		}
		peer := engine.peers(member)
		if peer == nil || !peer.holds(command) {
			return false
		}
	}
	return true
}

func (engine *Engine) holds(command Command) bool {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	same := engine.order.Replica == command.Replica && engine.order.Epoch == command.Epoch
	return same && !engine.fault.Dead && !engine.fault.Paused
}

// ServeHTTP answers status, orders and completions.
func (engine *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	engine.mutex.Lock()
	fault := engine.fault
	engine.mutex.Unlock()
	if fault.Dead {
		panic(http.ErrAbortHandler)
	}
	if fault.Paused {
		hang(r)
		return
	}
	switch r.URL.Path {
	case "/status":
		answerJSON(w, http.StatusOK, engine.Status())
	case "/order":
		engine.take(w, r)
	case "/v1/completions", "/v1/chat/completions":
		engine.complete(w, r, fault)
	case "/kv":
		answerJSON(w, http.StatusNotImplemented, failure{Error: "this engine exports and imports no KV cache"})
	default:
		http.NotFound(w, r)
	}
}

// hang waits until the caller has gone, which shows only once its body is read.
func hang(r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

type failure struct {
	Error string `json:"error"`
}

// Status gives the engine's own account, its load no fresher than its reports.
func (engine *Engine) Status() Status {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	now := time.Now()
	if now.Sub(engine.reportedAt) >= engine.speed.ReportEvery {
		engine.reportedAt = now
		engine.reported.Running, engine.reported.Waiting = engine.batch.load()
	}
	command := engine.order
	return Status{
		Host: engine.host, Incarnation: engine.name(),
		Replica: command.Replica, Epoch: command.Epoch, Rank: command.Rank,
		Model: command.Model, Version: command.Version,
		Ready:   command.Replica != "" && !now.Before(engine.readyAt),
		Running: engine.reported.Running, Waiting: engine.reported.Waiting,
	}
}

func (engine *Engine) name() string {
	return fmt.Sprintf("%s-%d", engine.host, engine.incarnation)
}

func (engine *Engine) take(w http.ResponseWriter, r *http.Request) {
	var command Command
	if err := json.NewDecoder(r.Body).Decode(&command); err != nil {
		answerJSON(w, http.StatusBadRequest, failure{Error: err.Error()})
		return
	}
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if engine.checksFencing && command.FencingNumber < engine.order.FencingNumber {
		answerJSON(w, http.StatusConflict, failure{Error: "the order carries an old fencing number"})
		return
	}
	weights := command.Model + "@" + command.Version
	if command.Replica != "" && engine.loaded != weights {
		engine.readyAt = engine.weights.Load(time.Now(), engine.speed.LoadTime)
		engine.loaded = weights
	}
	if command.Replica != engine.order.Replica || command.Epoch != engine.order.Epoch {
		close(engine.batch.stop)
		engine.begin()
	}
	engine.order = command
	answerJSON(w, http.StatusOK, struct{}{})
}

type completion struct {
	Model        string    `json:"model"`
	Prompt       string    `json:"prompt"`
	Messages     []Message `json:"messages"`
	MaxTokens    int       `json:"max_tokens"`
	MaxNew       int       `json:"max_completion_tokens"`
	ResumeOffset int       `json:"resume_offset"`
}

const (
	defaultTokens = 16
	tokenBuffer   = 64
)

func (engine *Engine) complete(w http.ResponseWriter, r *http.Request, fault EndpointFault) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var request completion
	if err := json.Unmarshal(body, &request); err != nil {
		answerJSON(w, http.StatusBadRequest, failure{Error: err.Error()})
		return
	}
	if !engine.serves(r) {
		answerJSON(w, http.StatusConflict, failure{Error: "the engine is not the lead of that replica"})
		return
	}
	chat := r.URL.Path == "/v1/chat/completions"
	stream := newStream(request, chat, r)
	engine.mutex.Lock()
	batch := engine.batch
	engine.served++
	engine.mutex.Unlock()
	if !batch.add(stream) {
		answerJSON(w, http.StatusTooManyRequests, failure{Error: "the queue is full"})
		return
	}
	writer := newChunks(w, r.Header.Get("X-Request-Id"), request.Model, chat, fault)
	writer.write(stream, batch.stop)
}

func (engine *Engine) serves(r *http.Request) bool {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	epoch, _ := strconv.ParseInt(r.Header.Get("X-Epoch"), 10, 64)
	return engine.order.Replica != "" && engine.order.Replica == r.Header.Get("X-Replica") &&
		engine.order.Epoch == epoch && engine.order.Rank == 0
}

func newStream(request completion, chat bool, r *http.Request) *stream {
	prompt := request.Prompt
	if chat {
		prompt = ChatPrompt(request.Messages)
	}
	limit := max(request.MaxTokens, request.MaxNew)
	if limit == 0 {
		limit = defaultTokens
	}
	priority, _ := strconv.Atoi(r.Header.Get("X-Priority"))
	return &stream{
		prompt: prompt, next: request.ResumeOffset, limit: max(limit, request.ResumeOffset+1),
		priority: priority, tokens: make(chan int, tokenBuffer), gone: r.Context().Done(),
	}
}

// Started counts the requests that the engine began.
func (engine *Engine) Started() int64 {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.served
}

// ActiveStreams counts the streams that the engine has now.
func (engine *Engine) ActiveStreams() int {
	engine.mutex.Lock()
	batch := engine.batch
	engine.mutex.Unlock()
	running, waiting := batch.load()
	return running + waiting
}
