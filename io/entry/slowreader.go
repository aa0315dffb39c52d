package entry

import (
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

// writeInTime writes part of a stream to the caller and flushes it. A caller that does not read it
// in time is dropped: the endpoint, which this node reads no faster than its caller, would cut
// the stream off, and the stream would be resumed for a caller that does not read.
func (request *request) writeInTime(part []byte) error {
	controller := http.NewResponseController(request.w)
	_ = controller.SetWriteDeadline(time.Now().Add(request.server.policy.CallerPatience))
	_, err := request.w.Write(part)
	if err == nil {
		err = controller.Flush()
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		request.stoppedReading = true
		request.server.meter.Count("callers_dropped_unread", request.service)
	}
	return errors.Mark(errors.Wrap(err, "entry: writing to the caller"), errCallerConnection)
}

// endWriteDeadline lets what is written after a stream take any time: no endpoint waits for that.
func (request *request) endWriteDeadline() {
	_ = http.NewResponseController(request.w).SetWriteDeadline(time.Time{})
}
