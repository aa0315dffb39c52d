package entry

import (
	"bufio"
	"bytes"
	"io"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"hickorybend/core/reach"
	"hickorybend/core/site"
	"hickorybend/io/pool"
)

// endless repeats a text without end.
type endless struct {
	text string
	next int
}

func (endless *endless) Read(buffer []byte) (int, error) {
	for i := range buffer {
		buffer[i] = endless.text[endless.next]
		endless.next = (endless.next + 1) % len(endless.text)
	}
	return len(buffer), nil
}

// TestEndlessEvent guards against an event that grows without limit: lines without
// end, and lines without an empty one between them.
func TestEndlessEvent(t *testing.T) {
	for _, text := range []string{"x", "data: x\n", "id: 1\n", ":\r\n"} {
		eventreader := newEventReader(&endless{text: text}, &heldBytes{server: New(pool.New(), nil)})
		err := eventreader.next()
		assert.Assert(t, errors.Is(err, errEventTooLong), "%v", err)
		assert.Assert(t, eventreader.event.Cap() < 4*maxEventBytes, "%d bytes", eventreader.event.Cap())
	}
}

// expectEvents checks which events are read from a stream: their texts, and the ids
// between them.
func expectEvents(t *testing.T, stream string, wantIDs ...string) {
	t.Helper()
	eventreader := &eventReader{reader: bufio.NewReaderSize(strings.NewReader(stream), 16)}
	var ids []string
	var read bytes.Buffer
	for {
		err := eventreader.next()
		if errors.Is(err, io.EOF) && eventreader.event.Len() == 0 {
			break
		}
		assert.NilError(t, err)
		ids = append(ids, eventreader.id)
		read.Write(eventreader.event.Bytes())
	}
	assert.DeepEqual(t, ids, wantIDs)
	assert.Equal(t, read.String(), stream)
}

// TestLinesLongerThanTheBuffer guards against a part of a long line that passes for a
// line of its own: for an id, or for the empty line that ends the event.
func TestLinesLongerThanTheBuffer(t *testing.T) {
	expectEvents(t, "id: 1\ndata: a\n\nid: 2\n\n", "1", "2")
	expectEvents(t, "id: 1\ndata: 9 of 16 id: 7\n\n", "1")
	expectEvents(t, "id: 1\n"+strings.Repeat("x", 16)+"id: 7\n\n", "1")
	expectEvents(t, strings.Repeat("x", 32)+"\nid: 3\n\n", "3")
}

// TestSilenceTimerEndsWithItsAttempt guards against a timer that is armed again for ever,
// because it ran out in the moment in which its attempt ended.
func TestSilenceTimerEndsWithItsAttempt(t *testing.T) {
	snapshot := &atomic.Pointer[reach.Snapshot]{}
	snapshot.Store(&reach.Snapshot{})
	server := New(pool.New(), snapshot, WithPolicy(Policy{AnswerPatience: time.Millisecond, HandoverInterval: time.Millisecond}))
	request := &request{server: server, route: &site.Route{Kind: site.Idempotent{}, MaxAttempts: 2}, snapshot: snapshot.Load()}
	handover := newHandover(t.Context(), request, func(*attempt) bool { return false })
	var ended *attempt
	handover.run(&reach.Candidate{ID: "a", Load: &reach.Load{}}, func(attempt *attempt) result {
		time.Sleep(20 * time.Millisecond)
		assert.Check(t, attempt.ctx.Err() == nil, "no other endpoint could take the request over")
		ended = attempt
		return incomplete{cause: io.EOF}
	})
	handover.handleSilence(ended) // the timer had run out just before
	assert.Assert(t, !ended.silence.Stop(), "the timer is still armed")
}

// FuzzEvent checks that all bytes of complete events are read, in order.
func FuzzEvent(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\n\n", 16)
	f.Add("data: "+strings.Repeat("x", 30)+"\r\n\r\n", 17)
	f.Fuzz(func(t *testing.T, stream string, size int) {
		eventreader, read := &eventReader{reader: bufio.NewReaderSize(strings.NewReader(stream), max(16, size%64))}, 0
		for {
			if err := eventreader.next(); err != nil {
				return
			}
			event := eventreader.event.String()
			assert.Equal(t, stream[read:read+len(event)], event)
			read += len(event)
			lines := strings.SplitAfter(event, "\n")
			last := lines[len(lines)-2] // after it comes the empty rest
			assert.Equal(t, strings.TrimRight(last, "\r\n"), "", "the event does not end with an empty line")
		}
	})
}
