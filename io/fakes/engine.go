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

// Command assigns an engine a rank in a replica; an empty Replica releases it.
type Command struct {
	FencingNumber int64    `json:"fence"`
	Epoch         int64    `json:"epoch"`
	Replica       string   `json:"replica"`
	Rank          int      `json:"rank"`
	Members       []string `json:"members"`
	Model         string   `json:"model"`
	Version       string   `json:"version"`
}

// Status is an engine's status report. Running and Waiting are stream counts, which
// are up to Speed.ReportEvery old.
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

// Engine stands in for one model engine on one host. The first host of a replica
// is the member of rank 0; it takes the requests of the replica.
type Engine struct {
	host  string
	speed Speed
	// checksFencing makes the engine reject commands with an old fencing number.
	checksFencing bool
	weightStore   *WeightStore
	// engineOn returns the engine on a host, or nil.
	engineOn func(host string) *Engine

	mutex         sync.Mutex
	fault         EndpointFault
	incarnation   int
	command       Command
	readyAt       time.Time
	loadedWeights string
	reportedAt    time.Time
	reported      Status
	batch         *batch
	started       int64
}

// NewEngine returns an engine that belongs to no replica. engineOn finds the
// engines of other hosts.
func NewEngine(host string, speed Speed, checksFencing bool, weightstore *WeightStore, engineOn func(string) *Engine) *Engine {
	engine := &Engine{
		host: host, speed: speed, checksFencing: checksFencing,
		weightStore: weightstore, engineOn: engineOn, incarnation: 1,
	}
	engine.startBatch()
	return engine
}

func (engine *Engine) startBatch() {
	engine.batch = newBatch(engine.speed, engine.replicaComplete, engine.slowdown)
	go engine.batch.run()
}

// Stop stops the engine's batch and aborts its streams.
func (engine *Engine) Stop() {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	close(engine.batch.stop)
}

// Restart aborts all streams and starts a new incarnation without a command,
// weights or faults.
func (engine *Engine) Restart() {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	close(engine.batch.stop)
	engine.incarnation++
	engine.command = Command{}
	engine.loadedWeights = ""
	engine.fault = EndpointFault{}
	engine.startBatch()
}

// SetFault replaces the engine's fault.
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

// replicaComplete reports whether every member of the replica responds and has
// the same replica and epoch. A replica with a member missing generates no tokens.
func (engine *Engine) replicaComplete() bool {
	engine.mutex.Lock()
	command, faulty := engine.command, engine.fault.Dead || engine.fault.Paused
	engine.mutex.Unlock()
	if faulty {
		return false
	}
	for _, member := range command.Members {
		if member == engine.host {
			continue
		}
		peer := engine.engineOn(member)
		if peer == nil || !peer.hasCommand(command) {
			return false
		}
	}
	return true
}

// hasCommand reports whether the engine responds and belongs to the command's
// replica and epoch.
func (engine *Engine) hasCommand(command Command) bool {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	same := engine.command.Replica == command.Replica && engine.command.Epoch == command.Epoch
	return same && !engine.fault.Dead && !engine.fault.Paused
}

// ServeHTTP serves status, commands and completions.
func (engine *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	engine.mutex.Lock()
	fault := engine.fault
	engine.mutex.Unlock()
	if fault.Dead {
		panic(http.ErrAbortHandler)
	}
	if fault.Paused {
		waitForDisconnect(r)
		return
	}
	switch r.URL.Path {
	case "/status":
		writeJSON(w, http.StatusOK, engine.Status())
	case "/order":
		engine.handleCommand(w, r)
	case "/v1/completions", "/v1/chat/completions":
		engine.handleCompletion(w, r, fault)
	case "/kv":
		writeJSON(w, http.StatusNotImplemented, errorBody{Error: "this engine exports and imports no KV cache"})
	default:
		http.NotFound(w, r)
	}
}

// waitForDisconnect returns when the caller disconnects. It reads the body first:
// net/http notices a closed connection only after that.
func waitForDisconnect(r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

type errorBody struct {
	Error string `json:"error"`
}

// Status returns the engine's status, with stream counts up to Speed.ReportEvery old.
func (engine *Engine) Status() Status {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	now := time.Now()
	if now.Sub(engine.reportedAt) >= engine.speed.ReportEvery {
		engine.reportedAt = now
		engine.reported.Running, engine.reported.Waiting = engine.batch.streamCounts()
	}
	command := engine.command
	return Status{
		Host: engine.host, Incarnation: engine.incarnationID(),
		Replica: command.Replica, Epoch: command.Epoch, Rank: command.Rank,
		Model: command.Model, Version: command.Version,
		Ready:   command.Replica != "" && !now.Before(engine.readyAt),
		Running: engine.reported.Running, Waiting: engine.reported.Waiting,
	}
}

func (engine *Engine) incarnationID() string {
	return fmt.Sprintf("%s-%d", engine.host, engine.incarnation)
}

// handleCommand carries out a command. It loads the weights if the engine has
// others, and aborts all streams if the replica or the epoch changes.
func (engine *Engine) handleCommand(w http.ResponseWriter, r *http.Request) {
	var command Command
	if err := json.NewDecoder(r.Body).Decode(&command); err != nil {
		writeJSON(w, http.StatusBadRequest, errorBody{Error: err.Error()})
		return
	}
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if engine.checksFencing && command.FencingNumber < engine.command.FencingNumber {
		writeJSON(w, http.StatusConflict, errorBody{Error: "the order carries an old fencing number"})
		return
	}
	weights := command.Model + "@" + command.Version
	if command.Replica != "" && engine.loadedWeights != weights {
		engine.readyAt = engine.weightStore.Load(time.Now(), engine.speed.LoadTime)
		engine.loadedWeights = weights
	}
	if command.Replica != engine.command.Replica || command.Epoch != engine.command.Epoch {
		close(engine.batch.stop)
		engine.startBatch()
	}
	engine.command = command
	writeJSON(w, http.StatusOK, struct{}{})
}

type completionRequest struct {
	Model               string    `json:"model"`
	Prompt              string    `json:"prompt"`
	Messages            []Message `json:"messages"`
	MaxTokens           int       `json:"max_tokens"`
	MaxCompletionTokens int       `json:"max_completion_tokens"`
	ResumeOffset        int       `json:"resume_offset"`
}

const (
	defaultTokens = 16 // of a completion whose request sets no maximum
	tokenBuffer   = 64 // tokens that a stream may be ahead of its chunkWriter
)

// handleCompletion streams a completion, also for a request that asks for no stream.
func (engine *Engine) handleCompletion(w http.ResponseWriter, r *http.Request, fault EndpointFault) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var completionrequest completionRequest
	if err := json.Unmarshal(body, &completionrequest); err != nil {
		writeJSON(w, http.StatusBadRequest, errorBody{Error: err.Error()})
		return
	}
	if !engine.isFirstHostFor(r) {
		writeJSON(w, http.StatusConflict, errorBody{Error: "the engine is not the lead of that replica"})
		return
	}
	chat := r.URL.Path == "/v1/chat/completions"
	stream := newStream(completionrequest, chat, r)
	engine.mutex.Lock()
	batch := engine.batch
	engine.started++
	engine.mutex.Unlock()
	if !batch.add(stream) {
		writeJSON(w, http.StatusTooManyRequests, errorBody{Error: "the queue is full"})
		return
	}
	chunkwriter := newChunkWriter(w, r.Header.Get("X-Request-Id"), completionrequest.Model, chat, fault)
	chunkwriter.write(stream, batch.stop)
}

// isFirstHostFor reports whether the engine is the first host of the replica and
// epoch that the request names.
func (engine *Engine) isFirstHostFor(r *http.Request) bool {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	epoch, _ := strconv.ParseInt(r.Header.Get("X-Epoch"), 10, 64)
	return engine.command.Replica != "" && engine.command.Replica == r.Header.Get("X-Replica") &&
		engine.command.Epoch == epoch && engine.command.Rank == 0
}

// newStream returns the stream of a request. A resumed stream starts at the
// request's offset and generates at least one token.
func newStream(completionrequest completionRequest, chat bool, r *http.Request) *stream {
	prompt := completionrequest.Prompt
	if chat {
		prompt = ChatPrompt(completionrequest.Messages)
	}
	maxTokens := max(completionrequest.MaxTokens, completionrequest.MaxCompletionTokens)
	if maxTokens == 0 {
		maxTokens = defaultTokens
	}
	priority, _ := strconv.Atoi(r.Header.Get("X-Priority"))
	return &stream{
		prompt: prompt, nextToken: completionrequest.ResumeOffset, maxTokens: max(maxTokens, completionrequest.ResumeOffset+1),
		priority: priority, tokens: make(chan int, tokenBuffer), cancelled: r.Context().Done(),
	}
}

// Started returns the number of completion requests that the engine received as
// the first host of their replica, including those rejected because its queue was
// full.
func (engine *Engine) Started() int64 {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.started
}

// ActiveStreams returns the number of streams that run or wait.
func (engine *Engine) ActiveStreams() int {
	engine.mutex.Lock()
	batch := engine.batch
	engine.mutex.Unlock()
	running, waiting := batch.streamCounts()
	return running + waiting
}
