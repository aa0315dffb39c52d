package entry

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

// errEventTooLong means that an event does not end within maxEventBytes.
var errEventTooLong = errors.Newf("entry: an event has more than %d bytes", maxEventBytes)

// maxEventBytes limits one event.
const maxEventBytes = 1 << 20

const eventBufferBytes = 4 << 10

// eventReader reads the events of a stream.
type eventReader struct {
	reader *bufio.Reader
	event  bytes.Buffer // the last event read, with the empty line that ends it
	id     string       // its id
	held   *heldBytes   // of event
}

func newEventReader(body io.Reader, held *heldBytes) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(body, eventBufferBytes), held: held}
}

// next reads one event. It returns io.EOF if the stream has ended between two events.
func (eventreader *eventReader) next() error {
	eventreader.event.Reset()
	eventreader.id = ""
	continued := false
	for {
		line, err := eventreader.reader.ReadSlice('\n')
		eventreader.event.Write(line)
		if eventreader.event.Len() > maxEventBytes {
			return errEventTooLong
		}
		if !eventreader.held.grow(int64(eventreader.event.Cap())) {
			return eventreader.held.refuse(eventreader.event.Len())
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			eventreader.id, continued = idOf(line, continued, eventreader.id), true
			continue
		}
		if errors.Is(err, io.EOF) && eventreader.event.Len() > 0 {
			return io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
		if !continued && len(bytes.TrimRight(line, "\r\n")) == 0 {
			return nil
		}
		eventreader.id, continued = idOf(line, continued, eventreader.id), false
	}
}

// idOf returns the id that a line states, or the known one. A line that does not fit
// into the reader's buffer comes in parts; only the first one can state an id.
func idOf(line []byte, continued bool, known string) string {
	value, found := bytes.CutPrefix(line, []byte("id:"))
	if !found || continued {
		return known
	}
	return string(bytes.TrimSpace(value))
}
