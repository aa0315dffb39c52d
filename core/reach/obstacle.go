package reach

import (
	"slices"
	"time"
)

// Obstacle is a reason for which a request is not sent to a candidate.
type Obstacle struct {
	Candidate string
	Reason    ObstacleReason
	Until     time.Time // zero if it has no end that is known
}

// ObstacleReason names an obstacle.
type ObstacleReason string

// The reasons for which a request is not sent to a candidate.
const (
	ObstacleTried       ObstacleReason = "tried"
	ObstacleUnreachable ObstacleReason = "unreachable"
	ObstacleAvoided     ObstacleReason = "avoided"
	ObstacleBackedOff   ObstacleReason = "backed-off"
	ObstacleLeaving     ObstacleReason = "leaving"
	ObstacleLimited     ObstacleReason = "limited"
	ObstacleInFlight    ObstacleReason = "in-flight"
	ObstacleMemory      ObstacleReason = "memory-full"
	ObstacleRegion      ObstacleReason = "other-region"
)

// Obstacles returns why the candidates for a request take none, the first maxCount of them.
func Obstacles(servicepool *ServicePool, request Request, maxCount int) []Obstacle {
	if servicepool == nil {
		return nil
	}
	var obstacles []Obstacle
	for _, candidate := range servicepool.candidatesFor(request) {
		if len(obstacles) == maxCount {
			break
		}
		if reason := candidate.obstacle(request); reason != "" {
			obstacles = append(obstacles, Obstacle{Candidate: candidate.ID, Reason: reason, Until: candidate.obstacleEnd(reason)})
		}
	}
	return obstacles
}

// obstacle returns the first reason for which the candidate does not take a request, or "".
func (candidate *Candidate) obstacle(request Request) ObstacleReason {
	load, now := candidate.Load, request.Now
	switch {
	case request.Homes.Restricted() && !request.Allows(candidate):
		return ObstacleRegion
	case slices.Contains(request.Tried, candidate.ID):
		return ObstacleTried
	case load.Unreachable(now):
		return ObstacleUnreachable
	case load.Avoided(now):
		return ObstacleAvoided
	case load.BackedOff(now):
		return ObstacleBackedOff
	case load.Leaving(candidate.StartedAt):
		return ObstacleLeaving
	case load.Limited(now):
		return ObstacleLimited
	case candidate.MaxInFlight > 0 && load.OwnInFlight() >= candidate.MaxInFlight:
		return ObstacleInFlight
	case candidate.MemoryTokens > 0 && candidate.memoryFull(request):
		return ObstacleMemory
	}
	return ""
}

// obstacleEnd returns when an obstacle of the candidate ends, or the zero time.
func (candidate *Candidate) obstacleEnd(reason ObstacleReason) time.Time {
	until := int64(0)
	switch reason {
	case ObstacleUnreachable:
		until = candidate.Load.unreachableUntil.Load()
	case ObstacleAvoided:
		until = candidate.Load.avoidUntil.Load()
	case ObstacleBackedOff:
		until = candidate.Load.backoffEnd.Load()
	}
	if until == 0 {
		return time.Time{}
	}
	return time.Unix(0, until)
}
