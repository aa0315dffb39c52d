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
		if obstacle, found := candidate.obstacle(request); found {
			obstacles = append(obstacles, obstacle)
		}
	}
	return obstacles
}

// obstacle returns the first obstacle for a request, in the order in which pick asks for them.
func (candidate *Candidate) obstacle(request Request) (Obstacle, bool) {
	load, now := candidate.Load, request.Now
	obstacle := func(reason ObstacleReason, until int64) (Obstacle, bool) {
		found := Obstacle{Candidate: candidate.ID, Reason: reason}
		if until != 0 {
			found.Until = time.Unix(0, until)
		}
		return found, true
	}
	switch {
	case request.Homes.Restricted() && !request.Allows(candidate):
		return obstacle(ObstacleRegion, 0)
	case slices.Contains(request.Tried, candidate.ID):
		return obstacle(ObstacleTried, 0)
	case load.Unreachable(now):
		return obstacle(ObstacleUnreachable, load.unreachableUntil.Load())
	case load.Avoided(now):
		return obstacle(ObstacleAvoided, load.avoidUntil.Load())
	case load.BackedOff(now):
		return obstacle(ObstacleBackedOff, load.backoffEnd.Load())
	case load.Leaving(candidate.StartedAt):
		return obstacle(ObstacleLeaving, 0)
	case load.Limited(now):
		return obstacle(ObstacleLimited, 0)
	case candidate.MaxInFlight > 0 && load.OwnInFlight() >= candidate.MaxInFlight:
		return obstacle(ObstacleInFlight, 0)
	case candidate.memoryFull(request):
		return obstacle(ObstacleMemory, 0)
	}
	return Obstacle{}, false
}
