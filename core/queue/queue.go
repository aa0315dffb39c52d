package queue

import (
	"slices"
	"time"

	"hickorybend/core/batch"
)

// Replica is a replica that takes requests.
type Replica struct {
	ID       string // of its first host
	Speed    batch.Replica
	Slots    int
	SameZone bool // in the zone of the queue
}

// Key identifies a request, or a further attempt at one, of a node.
type Key struct {
	Node string
	ID   uint64 // unique at the node since its start
}

// Request is what the choice of a replica needs to know of a request.
type Request struct {
	Key      Key
	Work     batch.Work
	FirstBy  time.Time     // when its first event is due
	Deadline time.Time     // after which its caller does not wait
	Pause    time.Duration // objective for the longest pause between two events; 0 for none
	Priority int           // 0 is the most urgent
	Resumed  bool          // part of its answer has been delivered
	Team     string
	Unusable []string // replicas that the node cannot send it to
}

// Counts are requests at a replica that the queue has not assigned.
type Counts struct {
	InFlight      int
	PendingTokens int // of the prompts whose answer has not begun
}

// Decision is Assign, Reject or None.
type Decision interface {
	decision()
}

// Assign says which replica serves the request.
type Assign struct {
	Replica string // ID of its first host
}

// Reject says that the request is rejected at once; the caller may retry later.
type Reject struct {
	RetryAt time.Time // when there is capacity for it
}

// None says that the queue knows no replica for the request, so that its node decides.
type None struct{}

func (Assign) decision() {}
func (Reject) decision() {}
func (None) decision()   {}

// entry is a request at a replica.
type entry struct {
	replica   string
	work      batch.Work
	started   bool // its first event has come
	deadline  time.Time
	expiresAt time.Time // when it no longer counts
}

// replica is a replica with the requests there.
type replica struct {
	Replica
	inFlight      int
	running       int // requests in flight whose first event has come
	pendingTokens int
	contextTokens int
	others        Counts
}

// Queue assigns the requests for one model.
type Queue struct {
	policy   Policy
	replicas map[string]*replica
	order    []string // IDs of the replicas, sorted
	entries  map[Key]*entry
	shares   map[kind]*share
	promised time.Time // when the last caller that was rejected is to return
}

// New creates a queue without replicas.
func New(policy Policy) *Queue {
	return &Queue{policy: policy, replicas: map[string]*replica{}, entries: map[Key]*entry{}, shares: map[kind]*share{}}
}

// SetReplicas sets which replicas take requests. Requests at one that no longer does are
// counted until they end, in case it takes requests again.
func (queue *Queue) SetReplicas(replicas []Replica) {
	former := queue.replicas
	queue.replicas, queue.order = make(map[string]*replica, len(replicas)), queue.order[:0]
	for _, each := range replicas {
		known := former[each.ID]
		if known == nil {
			known = &replica{}
		}
		known.Replica = each
		queue.replicas[each.ID] = known
		queue.order = append(queue.order, each.ID)
	}
	slices.Sort(queue.order)
	for _, replica := range queue.replicas {
		replica.inFlight, replica.running, replica.pendingTokens, replica.contextTokens = 0, 0, 0, 0
	}
	for _, entry := range queue.entries {
		queue.count(entry, 1)
	}
}

// SetOthers sets the requests at a replica that are neither assigned by the queue nor
// reported to it.
func (queue *Queue) SetOthers(id string, counts Counts) {
	if replica := queue.replicas[id]; replica != nil {
		replica.others = counts
	}
}

// count adds a request to its replica's figures, or removes it with sign -1.
func (queue *Queue) count(entry *entry, sign int) {
	replica := queue.replicas[entry.replica]
	if replica == nil {
		return
	}
	replica.inFlight += sign
	if !entry.started {
		replica.pendingTokens += sign * entry.work.PromptTokens
		return
	}
	replica.running += sign
	replica.contextTokens += sign * (entry.work.PromptTokens + entry.work.AnswerTokens/2)
}

// Place decides on a request. It counts a request that it assigns.
//
// A request that no replica would serve on time is rejected if the replicas are full, or, where the
// policy says so, if it would make those after it late too. The caller has its full value if it
// returns when there is capacity. The rest of a stream, part of which its caller has, is never rejected.
func (queue *Queue) Place(request Request, now time.Time) Decision {
	kind := kindOf(request)
	best, estimate := queue.best(request, queue.policy.margin(request)*queue.favor(kind), now)
	switch {
	case best == nil:
		return None{}
	case !estimate.inTime && !request.Resumed && best.refuses(queue.policy):
		queue.countOffer(kind, false, now)
		return Reject{RetryAt: queue.promise(request, now)}
	}
	queue.countOffer(kind, true, now)
	queue.put(request.Key, &entry{replica: best.ID, work: request.Work, deadline: request.Deadline, expiresAt: request.FirstBy.Add(queue.policy.StartGrace)})
	return Assign{Replica: best.ID}
}

// Begun counts a request that a node reports to be at a replica.
func (queue *Queue) Begun(key Key, replica string, work batch.Work, deadline time.Time) {
	queue.put(key, &entry{replica: replica, work: work, deadline: deadline, expiresAt: deadline.Add(queue.policy.ReportGrace)})
}

// put counts a request in place of an earlier one with its key.
func (queue *Queue) put(key Key, entry *entry) {
	queue.Ended(key)
	queue.entries[key] = entry
	queue.count(entry, 1)
}

// Started records that the first event of a request has come.
func (queue *Queue) Started(key Key) {
	entry := queue.entries[key]
	if entry == nil || entry.started {
		return
	}
	queue.count(entry, -1)
	entry.started, entry.expiresAt = true, entry.deadline.Add(queue.policy.ReportGrace)
	queue.count(entry, 1)
}

// Ended records that a request has ended, or has not been sent.
func (queue *Queue) Ended(key Key) {
	if entry := queue.entries[key]; entry != nil {
		queue.count(entry, -1)
		delete(queue.entries, key)
	}
}

// DropNode forgets the requests of a node.
func (queue *Queue) DropNode(node string) {
	for key := range queue.entries {
		if key.Node == node {
			queue.Ended(key)
		}
	}
}

// Expire forgets kinds of requests that no longer come, and the requests whose time is over and that nobody has reported the end of.
// It returns how many there were.
func (queue *Queue) Expire(now time.Time) int {
	queue.forgetShares(now)
	expired := 0
	for key, entry := range queue.entries {
		if !now.Before(entry.expiresAt) {
			queue.Ended(key)
			expired++
		}
	}
	return expired
}

// Empty reports whether the queue counts no request.
func (queue *Queue) Empty() bool { return len(queue.entries) == 0 }

// InFlight returns the requests that the queue counts at each replica.
func (queue *Queue) InFlight() map[string]Counts {
	counts := make(map[string]Counts, len(queue.replicas))
	for id, replica := range queue.replicas {
		counts[id] = Counts{InFlight: replica.inFlight, PendingTokens: replica.pendingTokens}
	}
	return counts
}
