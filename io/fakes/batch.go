package fakes

import (
	"container/heap"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"
)

// Speed sets the timing and the limits of the engines and plain instances.
type Speed struct {
	// MaxBatch is the maximum number of streams that run at once.
	MaxBatch int
	// A step generates one token for each running stream. It takes StepBase, plus
	// StepPerStream for each of these streams, plus the time of a prefill.
	StepBase      time.Duration
	StepPerStream time.Duration
	// PrefillPerToken is the prefill time of a token that is not in the prefix cache.
	PrefillPerToken time.Duration
	// CacheBlocks is the number of prompt blocks that the prefix cache holds.
	CacheBlocks int
	// LoadTime is how long a load of weights takes once it has started.
	LoadTime time.Duration
	// ReportEvery is the minimum time between two updates of the stream counts in
	// an engine's status.
	ReportEvery time.Duration
	// MaxQueue is how many streams may wait; further requests get status 429.
	MaxQueue int
	// ProcessingTime is how long a plain instance takes to execute a call.
	ProcessingTime time.Duration
}

// DefaultSpeed returns the speed of an engine that generates about 50 tokens a
// second for each stream under load. Without prefills, a stream alone gets 120
// tokens a second and each of 16 streams gets 78.
func DefaultSpeed() Speed {
	return Speed{
		MaxBatch: 16, StepBase: 8 * time.Millisecond, StepPerStream: 300 * time.Microsecond,
		PrefillPerToken: 150 * time.Microsecond, CacheBlocks: 2000,
		LoadTime: 1500 * time.Millisecond, ReportEvery: 500 * time.Millisecond,
		MaxQueue: 512, ProcessingTime: 5 * time.Millisecond,
	}
}

// blockBytes is the length of prompt text that one block of the prefix cache covers.
const blockBytes = 64

// stream is one completion, waiting or being generated.
type stream struct {
	prompt string
	// nextToken is the index of the next token to generate. A resumed stream does
	// not start at 0.
	nextToken int
	// maxTokens is the length of the completion, with the tokens before a resume.
	maxTokens int
	// priority and sequence order the waiting streams; see waitingHeap.
	priority int
	sequence int64
	// cachedTokens is the number of prompt tokens found in the prefix cache.
	cachedTokens int
	// tokens carries the indexes of the generated tokens. It is closed after the
	// last one or when the stream is cancelled.
	tokens chan int
	// cancelled is closed when the caller disconnects.
	cancelled <-chan struct{}
}

// batch is a simple model of continuous batching: each step prefills at most one
// prompt and generates one token for each running stream.
type batch struct {
	mutex        sync.Mutex
	speed        Speed
	waiting      waitingHeap
	running      []*stream
	lastSequence int64
	cache        *lru.Cache[uint64, struct{}] // the prefix cache, by hash of the prefix
	wake         chan struct{}                // receives a value when a stream is added
	stop         chan struct{}                // closed to end run and all streams
	// healthy reports whether the replica can generate tokens.
	healthy func() bool
	// slowdown returns the factor by which steps are slowed down.
	slowdown func() float64
}

// waitingHeap orders streams by priority, the lowest number first, then by arrival.
type waitingHeap []*stream

func (waitingheap waitingHeap) Len() int { return len(waitingheap) }

func (waitingheap waitingHeap) Less(i, j int) bool {
	if waitingheap[i].priority != waitingheap[j].priority {
		return waitingheap[i].priority < waitingheap[j].priority
	}
	return waitingheap[i].sequence < waitingheap[j].sequence
}

func (waitingheap waitingHeap) Swap(i, j int) {
	waitingheap[i], waitingheap[j] = waitingheap[j], waitingheap[i]
}

// Push implements heap.Interface.
func (waitingheap *waitingHeap) Push(element any) {
	*waitingheap = append(*waitingheap, element.(*stream))
}

// Pop implements heap.Interface.
func (waitingheap *waitingHeap) Pop() any {
	last := len(*waitingheap) - 1
	element := (*waitingheap)[last]
	*waitingheap = (*waitingheap)[:last]
	return element
}

func newBatch(speed Speed, healthy func() bool, slowdown func() float64) *batch {
	cache, err := lru.New[uint64, struct{}](speed.CacheBlocks)
	if err != nil {
		panic(err)
	}
	return &batch{
		speed: speed, cache: cache, wake: make(chan struct{}, 1), stop: make(chan struct{}),
		healthy: healthy, slowdown: slowdown,
	}
}

// add puts a stream into the queue. It returns false if the queue is full.
func (batch *batch) add(stream *stream) bool {
	batch.mutex.Lock()
	defer batch.mutex.Unlock()
	if len(batch.waiting) >= batch.speed.MaxQueue {
		return false
	}
	batch.lastSequence++
	stream.sequence = batch.lastSequence
	heap.Push(&batch.waiting, stream)
	select {
	case batch.wake <- struct{}{}:
	default:
	}
	return true
}

// streamCounts returns the number of running streams and of waiting streams.
func (batch *batch) streamCounts() (int, int) {
	batch.mutex.Lock()
	defer batch.mutex.Unlock()
	return len(batch.running), len(batch.waiting)
}

// run executes steps until stop is closed; it sleeps for the time of each step.
func (batch *batch) run() {
	for {
		stepTime := batch.step()
		if stepTime == 0 {
			select {
			case <-batch.wake:
			case <-batch.stop:
				return
			}
			continue
		}
		select {
		case <-time.After(time.Duration(float64(stepTime) * batch.slowdown())):
		case <-batch.stop:
			return
		}
	}
}

// step admits at most one waiting stream, generates a token for each running
// stream, and returns how long the step takes; zero means that the batch is idle.
func (batch *batch) step() time.Duration {
	// healthy takes the engine's lock. It runs before batch.mutex is locked, since
	// Engine.Status holds the engine's lock while it calls streamCounts; the other
	// order would deadlock.
	if !batch.healthy() {
		return batch.speed.StepBase
	}
	batch.mutex.Lock()
	defer batch.mutex.Unlock()
	prefillTime := batch.admit()
	batch.running = batch.emitTokens()
	if len(batch.running) == 0 && len(batch.waiting) == 0 {
		return prefillTime
	}
	return prefillTime + batch.speed.StepBase + time.Duration(len(batch.running))*batch.speed.StepPerStream
}

// admit starts the first waiting stream if the batch has room, and returns the
// time of its prefill.
func (batch *batch) admit() time.Duration {
	if len(batch.waiting) == 0 || len(batch.running) >= batch.speed.MaxBatch {
		return 0
	}
	next := heap.Pop(&batch.waiting).(*stream)
	uncached := batch.prefill(next)
	batch.running = append(batch.running, next)
	return time.Duration(uncached) * batch.speed.PrefillPerToken
}

// prefill puts the prompt's blocks into the prefix cache and returns the number of
// tokens to compute. As in a real prefix cache, a block counts as a hit only if all
// blocks before it are hits. A resumed stream also computes the tokens that were
// generated before it resumed.
func (batch *batch) prefill(stream *stream) int {
	tokens := len(stream.prompt)/bytesPerToken + stream.nextToken
	prefixCached := true
	for end := blockBytes; end <= len(stream.prompt); end += blockBytes {
		block := xxhash.Sum64String(stream.prompt[:end])
		if _, hit := batch.cache.Get(block); hit && prefixCached {
			stream.cachedTokens += blockBytes / bytesPerToken
			continue
		}
		prefixCached = false
		batch.cache.Add(block, struct{}{})
	}
	return tokens - stream.cachedTokens
}

// emitTokens generates a token for each running stream and returns the streams
// that are neither complete nor cancelled. A stream whose buffer is full gets no
// token in this step.
func (batch *batch) emitTokens() []*stream {
	var active []*stream
	for _, stream := range batch.running {
		select {
		case <-stream.cancelled:
			close(stream.tokens)
			continue
		case stream.tokens <- stream.nextToken:
			stream.nextToken++
		default:
		}
		if stream.nextToken >= stream.maxTokens {
			close(stream.tokens)
			continue
		}
		active = append(active, stream)
	}
	return active
}
