package gate

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"hickorybend/io/event"
	"hickorybend/io/meter"
)

// closedLogInterval is the shortest time between two log events.
const closedLogInterval = time.Second

// Closures counts the connections that the gates of a node closed or refused, and logs them once in closedLogInterval at
// most.
type Closures struct {
	log       *zap.Logger
	meter     *meter.Meter
	mutex     sync.Mutex
	count     int
	nextLogAt time.Time
}

// NewClosures returns the count of a node's gates.
func NewClosures(log *zap.Logger, meter *meter.Meter) *Closures {
	return &Closures{log: log, meter: meter}
}

// Add counts a connection at a named address of the node.
func (closures *Closures) Add(address string, closed Closed) {
	closures.meter.Count("client_connections_closed", string(closed.Reason))
	closures.mutex.Lock()
	defer closures.mutex.Unlock()
	closures.count++
	now := time.Now()
	if now.Before(closures.nextLogAt) {
		return
	}
	event.Log(closures.log, event.ClientsClosed, zap.String("address", address), zap.String("reason", string(closed.Reason)), zap.String("source", closed.Source),
		zap.Int64("bytes", closed.Cost), zap.Int("fields", closed.Fields), zap.Int("count", closures.count))
	closures.count, closures.nextLogAt = 0, now.Add(closedLogInterval)
}
