package entry

import (
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"hickorybend/core/buffer"
	"hickorybend/io/event"
)

// errNoMemory means that this node may hold no more bytes for others. Its text can reach the
// caller in the body of a 502 or 503.
var errNoMemory = errors.New("entry: this node holds too many bytes for others")

const (
	maxBufferedBytes = 16 << 20 // of an answer that is buffered completely
	maxUnsignedBytes = 64 << 10 // of an answer without a receipt, which is no endpoint's
	uncountedBytes   = 8 << 10  // of each answer and body, so that most requests do without the ledger
	minReadBytes     = 512
	memoryRetryDelay = time.Second // after which a caller whose body had no room may retry
	endedLogInterval = time.Second // between two lines about claims that were ended
)

// WithMemory sets the memory of this node in bytes, of which a part may be held for others.
func WithMemory(bytes int64) Option {
	return func(server *Server) { server.ledger = buffer.NewLedger(buffer.PolicyFor(bytes)) }
}

// Ledger returns the budget for the bytes that this node holds for others.
func (server *Server) Ledger() *buffer.Ledger { return server.ledger }

// HeldBytes returns the bytes that this node holds for others, and how many answers and bodies
// have been ended for want of room since the start.
func (server *Server) HeldBytes() (held, ended int64) { return server.ledger.Held() }

// heldBytes counts the bytes that are held for one answer or body.
type heldBytes struct {
	server *Server
	owner  buffer.Owner
	answer bool
	end    func() // ends the reading
	claim  *buffer.Claim
}

// grow reports whether that many bytes may be held.
func (heldbytes *heldBytes) grow(bytes int64) bool {
	if bytes <= uncountedBytes {
		return true
	}
	now := time.Now()
	if heldbytes.claim == nil {
		heldbytes.claim = heldbytes.server.ledger.Begin(heldbytes.owner, heldbytes.answer, now, heldbytes.end)
	}
	return heldbytes.claim.Grow(bytes, now)
}

// complete reports whether all bytes are still held; from then on they are until release.
func (heldbytes *heldBytes) complete() bool {
	return heldbytes.claim == nil || heldbytes.claim.Complete()
}

func (heldbytes *heldBytes) release() {
	if heldbytes.claim != nil {
		heldbytes.claim.Release()
	}
}

// read reads to the end. More bytes than the limit are an error, so that a part does not pass
// for the whole. stated is the length that the sender has stated, or -1.
func (heldbytes *heldBytes) read(reader io.Reader, limit, stated int64) ([]byte, error) {
	data := make([]byte, 0, minReadBytes)
	for {
		if len(data) == cap(data) {
			data = enlarge(data, stated)
		}
		if !heldbytes.grow(int64(cap(data))) {
			return nil, heldbytes.refuse(len(data))
		}
		count, err := reader.Read(data[len(data):cap(data)])
		data = data[:len(data)+count]
		switch {
		case int64(len(data)) > limit:
			return nil, errors.Newf("entry: the body has more than %d bytes", limit)
		case errors.Is(err, io.EOF):
			if !heldbytes.complete() {
				return nil, heldbytes.refuse(len(data))
			}
			return data, nil
		case err != nil:
			return nil, err
		}
	}
}

// enlarge returns the data with room for more: twice the capacity, or, where that is nearly enough, the
// length that was stated and a byte more, at which the end is read. Without a length, append chooses less room.
func enlarge(data []byte, stated int64) []byte {
	if int64(cap(data)) > stated {
		return append(data, 0)[:len(data)]
	}
	capacity := 2 * int64(cap(data))
	if capacity+capacity/4 > stated {
		capacity = stated + 1
	}
	larger := make([]byte, len(data), capacity)
	copy(larger, data)
	return larger
}

// refuse logs that the bytes are not held, and returns the error for it.
func (heldbytes *heldBytes) refuse(bytes int) error {
	heldbytes.server.endedClaims.log(heldbytes.server, heldbytes.owner, bytes)
	return errNoMemory
}

// endedClaims are the claims that were ended and not yet logged.
type endedClaims struct {
	mutex     sync.Mutex
	count     int
	nextLogAt time.Time
}

func (endedclaims *endedClaims) log(server *Server, owner buffer.Owner, bytes int) {
	endedclaims.mutex.Lock()
	defer endedclaims.mutex.Unlock()
	endedclaims.count++
	now := time.Now()
	if now.Before(endedclaims.nextLogAt) {
		return
	}
	held, _ := server.HeldBytes()
	event.Log(server.log, event.BytesRefused, zap.Any("owner", owner), zap.Int("bytes", bytes), zap.Int64("held", held), zap.Int("count", endedclaims.count))
	endedclaims.count, endedclaims.nextLogAt = 0, now.Add(endedLogInterval)
}

// holdAnswer returns the count of bytes that are held for the answer to an attempt.
func (request *request) holdAnswer(attempt *attempt, receipt bool) *heldBytes {
	return &heldBytes{
		server: request.server, owner: buffer.Endpoint{ID: attempt.candidate.ID}, answer: receipt, end: func() { attempt.cancel(errNoMemory) },
	}
}

// keep has bytes count as held until the request has ended.
func (request *request) keep(heldbytes *heldBytes) {
	request.heldMutex.Lock()
	defer request.heldMutex.Unlock()
	request.held = append(request.held, heldbytes)
}

// releaseHeld releases what was kept.
func (request *request) releaseHeld() {
	request.heldMutex.Lock()
	defer request.heldMutex.Unlock()
	for _, heldbytes := range request.held {
		heldbytes.release()
	}
}
