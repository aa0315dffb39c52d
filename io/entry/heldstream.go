package entry

import (
	"bytes"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// errHeldTooLong means that the events held for a stream have reached their limit. Its text can
// reach the caller in the body of a 502.
var errHeldTooLong = errors.Newf("entry: this node stops, and the stream has more than %d bytes", maxHeldBytes)

// maxHeldBytes limits the events of one stream that are held.
const maxHeldBytes = 1 << 20

// heldStream is a stream that may last longer than this node. How long an endpoint is
// silent cannot be known, so that a begun stream might be cut when the process
// exits. The caller gets it once it is whole, or else an error, which is an answer too.
type heldStream struct {
	response *http.Response // the first endpoint's
	events   bytes.Buffer
	bytes    *heldBytes
}

// add adds an event.
func (heldstream *heldStream) add(event []byte) error {
	if heldstream.events.Len()+len(event) > maxHeldBytes {
		return errHeldTooLong
	}
	heldstream.events.Write(event)
	if !heldstream.bytes.grow(int64(heldstream.events.Cap())) {
		return heldstream.bytes.refuse(heldstream.events.Len())
	}
	return nil
}

// mayOutlastNode reports whether the node may stop before the request's time limit. Requests
// that arrive while the platform still counts the node as one in use are served as ever.
func (request *request) mayOutlastNode() bool {
	stop := request.server.stop.Load()
	return stop != nil && request.readAt.After(stop.holdFrom) && request.deadline.After(stop.lastAnswerAt)
}

// stop is when a draining node changes how it serves.
type stop struct {
	holdFrom     time.Time // streams that arrive later are held if they may outlast the node
	lastAnswerAt time.Time // requests that have no answer yet get one of the node's own
	exitAt       time.Time
}
