package entry

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"hickorybend/core/reach"
	"hickorybend/io/event"
	"hickorybend/io/pool"
)

const (
	evidenceLogInterval = time.Second     // between two lines of one kind about evidence against endpoints
	evidenceSpan        = 3 * time.Second // over which a rejection tells how late this node was; evidence holds no longer
	maxObstacles        = 12              // in a line
)

// WithLateness sets the function that returns by how much this node was late at most since a time.
func WithLateness(lateBy func(since time.Time) time.Duration) Option {
	return func(server *Server) { server.lateBy = lateBy }
}

// lateToSee reports whether a connection may have failed to open in time only because this node was late.
// The endpoint is checked then before anything is concluded; another node is not.
func (request *request) lateToSee(attempt *attempt, err error) bool {
	return !attempt.candidate.IsPeer && errors.Is(err, pool.ErrNotOpen) && request.server.lateBy(attempt.sentAt) > 0
}

// rareLine is a kind of log line that is written from time to time.
type rareLine struct {
	mutex     sync.Mutex
	leftOut   int
	nextLogAt time.Time
}

// due reports whether a line is to be written now, and how many were left out before it.
func (rareline *rareLine) due(now time.Time) (leftOut int, due bool) {
	rareline.mutex.Lock()
	defer rareline.mutex.Unlock()
	if now.Before(rareline.nextLogAt) {
		rareline.leftOut++
		return 0, false
	}
	leftOut, rareline.leftOut, rareline.nextLogAt = rareline.leftOut, 0, now.Add(evidenceLogInterval)
	return leftOut, true
}

// logUnreached logs that no connection to the endpoint of an attempt could be opened, and whether a check
// is to decide what that means.
func (request *request) logUnreached(attempt *attempt, err error, putOff bool, now time.Time) {
	server := request.server
	leftOut, due := server.unreachedLine.due(now)
	if !due {
		return
	}
	event.Log(server.log, event.EndpointUnreached, zap.String("endpoint", attempt.candidate.ID), zap.String("from", "request"), zap.String("request", request.header.RequestID),
		zap.Duration("took", now.Sub(attempt.sentAt)), zap.Duration("left", request.deadline.Sub(now)), zap.Duration("late-by", server.lateBy(attempt.sentAt)), zap.Bool("put-off", putOff), zap.String("error", err.Error()), zap.Int("count", leftOut))
}

// logObstacles logs what is held against the endpoints, none of which takes the request.
func (request *request) logObstacles(snapshot *reach.Snapshot, routed reach.Request) {
	server := request.server
	leftOut, due := server.obstaclesLine.due(routed.Now)
	if !due {
		return
	}
	event.Log(server.log, event.NoEndpointTakes, zap.String("request", request.header.RequestID), zap.String("service", request.service),
		zap.Strings("obstacles", describeObstacles(reach.Obstacles(snapshot.Services[request.service], routed, maxObstacles), routed.Now)),
		zap.Duration("late-by", server.lateBy(routed.Now.Add(-evidenceSpan))), zap.Int("count", leftOut))
}

// describeObstacles lists endpoints, what is held against them, and for how long yet.
func describeObstacles(obstacles []reach.Obstacle, now time.Time) []string {
	descriptions := make([]string, 0, len(obstacles))
	for _, obstacle := range obstacles {
		description := obstacle.Candidate + " " + string(obstacle.Reason)
		if !obstacle.Until.IsZero() {
			description += " " + obstacle.Until.Sub(now).Round(time.Millisecond).String()
		}
		descriptions = append(descriptions, description)
	}
	return descriptions
}
