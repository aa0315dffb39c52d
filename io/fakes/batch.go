package fakes

import (
	"container/heap"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"
)

// Speed is how fast an engine works.
type Speed struct {
	MaxBatch        int
	StepBase        time.Duration
	StepPerStream   time.Duration
	PrefillPerToken time.Duration
	CacheBlocks     int
	LoadTime        time.Duration
	ReportEvery     time.Duration
	MaxQueue        int
	ProcessingTime  time.Duration
}

// DefaultSpeed is an engine of about 50 tokens a second for each stream.
func DefaultSpeed() Speed {
	return Speed{
		MaxBatch: 16, StepBase: 8 * time.Millisecond, StepPerStream: 300 * time.Microsecond,
		PrefillPerToken: 150 * time.Microsecond, CacheBlocks: 2000,
		LoadTime: 1500 * time.Millisecond, ReportEvery: 500 * time.Millisecond,
		MaxQueue: 512, ProcessingTime: 5 * time.Millisecond,
	}
}

// blockBytes is how much of a prompt one block of the prefix cache covers.
const blockBytes = 64

// stream is one answer that the engine is generating.
type stream struct {
	prompt   string
	next     int
	limit    int
	priority int
	order    int64
	cached   int
	tokens   chan int
	gone     <-chan struct{}
}

// batch is an engine's continuous batching in simple form: prompts are
// prefilled one after another, and each step gives one token to each stream.
type batch struct {
	mutex   sync.Mutex
	speed   Speed
	waiting waitingHeap
	running []*stream
	arrived int64
	cache   *lru.Cache[uint64, struct{}]
	wake    chan struct{}
	stop    chan struct{}
	healthy func() bool
	slow    func() float64
}

type waitingHeap []*stream

func (waitingheap waitingHeap) Len() int { return len(waitingheap) }

func (waitingheap waitingHeap) Less(i, j int) bool {
	if waitingheap[i].priority != waitingheap[j].priority {
		return waitingheap[i].priority < waitingheap[j].priority
	}
	return waitingheap[i].order < waitingheap[j].order
}

func (waitingheap waitingHeap) Swap(i, j int) {
	waitingheap[i], waitingheap[j] = waitingheap[j], waitingheap[i]
}

// Push is part of heap.Interface.
func (waitingheap *waitingHeap) Push(element any) {
	*waitingheap = append(*waitingheap, element.(*stream))
}

// Pop is part of heap.Interface.
func (waitingheap *waitingHeap) Pop() any {
	last := len(*waitingheap) - 1
	element := (*waitingheap)[last]
	*waitingheap = (*waitingheap)[:last]
	return element
}

func newBatch(speed Speed, healthy func() bool, slow func() float64) *batch {
	cache, err := lru.New[uint64, struct{}](speed.CacheBlocks)
	if err != nil {
		panic(err)
	}
	return &batch{
		speed: speed, cache: cache, wake: make(chan struct{}, 1), stop: make(chan struct{}),
		healthy: healthy, slow: slow,
	}
}

// add queues a stream, or refuses it when the queue is full.
func (batch *batch) add(stream *stream) bool {
	batch.mutex.Lock()
	defer batch.mutex.Unlock()
	if len(batch.waiting) >= batch.speed.MaxQueue {
		return false
	}
	batch.arrived++
	stream.order = batch.arrived
	heap.Push(&batch.waiting, stream)
	select {
	case batch.wake <- struct{}{}:
	default:
	}
	return true
}

func (batch *batch) load() (int, int) {
	batch.mutex.Lock()
	defer batch.mutex.Unlock()
	return len(batch.running), len(batch.waiting)
}

// run steps until stop is closed.
func (batch *batch) run() {
	for {
		spent := batch.step()
		if spent == 0 {
			select {
			case <-batch.wake:
			case <-batch.stop:
				return
			}
			continue
		}
		select {
		case <-time.After(time.Duration(float64(spent) * batch.slow())):
		case <-batch.stop:
			return
		}
	}
}

// step admits what fits, gives each running stream a token, and says how long
// that takes; zero means that there is nothing to do.
func (batch *batch) step() time.Duration {
	// The engine's own lock is taken in here, so it has to come first: whoever
	// holds it may ask for the batch's load.
	if !batch.healthy() {
		return batch.speed.StepBase
	}
	batch.mutex.Lock()
	defer batch.mutex.Unlock()
	prefill := batch.admit()
	batch.running = batch.emit()
	if len(batch.running) == 0 && len(batch.waiting) == 0 {
		return prefill
	}
	return prefill + batch.speed.StepBase + time.Duration(len(batch.running))*batch.speed.StepPerStream
}

func (batch *batch) admit() time.Duration {
	if len(batch.waiting) == 0 || len(batch.running) >= batch.speed.MaxBatch {
		return 0
	}
	next := heap.Pop(&batch.waiting).(*stream)
	fresh := batch.prefill(next)
	batch.running = append(batch.running, next)
	return time.Duration(fresh) * batch.speed.PrefillPerToken
}

// prefill counts the prompt's tokens that no cached block covers.
func (batch *batch) prefill(stream *stream) int {
	total := len(stream.prompt)/charsPerToken + stream.next
	warm := true
	for end := blockBytes; end <= len(stream.prompt); end += blockBytes {
		block := xxhash.Sum64String(stream.prompt[:end])
		if _, hit := batch.cache.Get(block); hit && warm {
			stream.cached += blockBytes / charsPerToken
			continue
		}
		warm = false
		batch.cache.Add(block, struct{}{})
	}
	return total - stream.cached
}

func (batch *batch) emit() []*stream {
	var alive []*stream
	for _, stream := range batch.running {
		select {
		case <-stream.gone:
			close(stream.tokens)
			continue
		case stream.tokens <- stream.next:
			stream.next++
		default:
		}
		if stream.next >= stream.limit {
			close(stream.tokens)
			continue
		}
		alive = append(alive, stream)
	}
	return alive
}
