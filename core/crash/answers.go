package crash

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Answer is a request that an endpoint has begun to answer.
type Answer struct {
	Incarnation Incarnation  // of the endpoint
	Inputs      []Input      // of the request
	BegunAt     time.Time    // when the answer began
	Broken      *atomic.Bool // set if the endpoint may have ended while the answer was recent

	endedAt   time.Time // zero while it goes on
	withdrawn bool      // it ended early, so it shows nothing
	doubted   bool      // its endpoint may have ended
}

// Answers holds the answers that may still crash their endpoint: those that go on, and those that
// ended so recently that the endpoint may yet crash of them. All request goroutines
// share it.
//
// For example, an endpoint answers a prompt with part b within 200 ms and crashes a
// second later. Nothing runs there any more, but the answer is still recent, so b was
// near at the crash.
type Answers struct {
	policy  Policy
	mutex   sync.Mutex
	recent  map[*Answer]bool // those that go on, and those that ended less than Linger ago
	begun   []*Answer        // that began less than KnownAfter ago, in their order
	pending []*Answer        // that began less than Linger ago, in their order
	ended   []*Answer        // among the recent ones, in the order in which they ended
}

// NewAnswers returns an empty Answers.
func NewAnswers(policy Policy) *Answers {
	return &Answers{policy: policy, recent: map[*Answer]bool{}}
}

// Begin adds an answer that an endpoint has just begun.
func (answers *Answers) Begin(answer *Answer) {
	answers.mutex.Lock()
	defer answers.mutex.Unlock()
	answers.recent[answer] = true
	answers.begun = append(answers.begun, answer)
	answers.pending = append(answers.pending, answer)
}

// Complete adds an answer that came as a whole at once.
func (answers *Answers) Complete(answer *Answer) {
	answers.mutex.Lock()
	defer answers.mutex.Unlock()
	answers.recent[answer] = true
	answers.finish(answer, answer.BegunAt)
}

// Finish records that an answer has ended as a whole.
func (answers *Answers) Finish(answer *Answer, now time.Time) { answers.end(answer, false, now) }

// Withdraw records that an answer has ended before it was whole. It shows nothing of its
// inputs if it had not yet, but its endpoint may crash of it.
func (answers *Answers) Withdraw(answer *Answer, now time.Time) { answers.end(answer, true, now) }

func (answers *Answers) end(answer *Answer, withdrawn bool, now time.Time) {
	answers.mutex.Lock()
	defer answers.mutex.Unlock()
	answer.withdrawn = withdrawn
	answers.finish(answer, now)
}

func (answers *Answers) finish(answer *Answer, now time.Time) {
	answer.endedAt = now
	answers.ended = append(answers.ended, answer)
}

// Doubt returns the recent answers of an endpoint that may have ended at a time, each of which
// may be the reason, and that it has not returned before: those that went on, and those that
// had ended. They show nothing any more.
func (answers *Answers) Doubt(endpoint string, at time.Time) (running, ended []*Answer) {
	answers.mutex.Lock()
	defer answers.mutex.Unlock()
	answers.dropEnded(at)
	for answer := range answers.recent {
		if answer.Incarnation.Endpoint == endpoint && !answer.doubted {
			answer.doubted = true
			answer.Broken.Store(true)
			if answer.endedAt.IsZero() {
				running = append(running, answer)
			} else {
				ended = append(ended, answer)
			}
		}
	}
	return running, ended
}

// Settle returns the answers that show that their inputs were answered, and those that their
// endpoint has outlived, each once.
func (answers *Answers) Settle(now time.Time) (known, outlived []*Answer) {
	answers.mutex.Lock()
	defer answers.mutex.Unlock()
	answers.dropEnded(now)
	return takeSound(&answers.begun, now.Add(-answers.policy.KnownAfter)), takeSound(&answers.pending, now.Add(-answers.policy.Linger))
}

// takeSound takes the answers that began until a time from a list, and returns those that
// show something.
func takeSound(list *[]*Answer, until time.Time) []*Answer {
	count := 0
	for count < len(*list) && !(*list)[count].BegunAt.After(until) {
		count++
	}
	taken := slices.Clone((*list)[:count])
	*list = slices.Delete(*list, 0, count)
	return slices.DeleteFunc(taken, func(answer *Answer) bool { return answer.withdrawn || answer.doubted })
}

func (answers *Answers) dropEnded(now time.Time) {
	count := 0
	for count < len(answers.ended) && now.Sub(answers.ended[count].endedAt) >= answers.policy.Linger {
		delete(answers.recent, answers.ended[count])
		count++
	}
	answers.ended = slices.Delete(answers.ended, 0, count)
}
