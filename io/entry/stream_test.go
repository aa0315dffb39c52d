package entry

import (
	"bufio"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
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
		relay := &relay{}
		_, err := relay.readEvent(bufio.NewReaderSize(&endless{text: text}, 4<<10))
		assert.Assert(t, errors.Is(err, errEventTooLong), "%v", err)
		assert.Assert(t, relay.event.Cap() < 4*maxEventBytes, "%d bytes", relay.event.Cap())
	}
}
