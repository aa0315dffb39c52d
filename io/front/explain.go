package front

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

// RoutingRecord is why a request went where it did.
type RoutingRecord struct {
	Request    string
	Team       string
	Service    string
	ReceivedAt time.Time
	Attempts   []Attempt
	Ended      string
}

// Attempt is one sending of a request to a replica or endpoint.
type Attempt struct {
	Target     string
	Load       int
	Candidates int
	Offset     int
	Error      string
}

// RoutingLog keeps the routing of the latest requests of this node.
type RoutingLog struct {
	visits *lru.Cache[string, RoutingRecord]
}

const explained = 512

func newExplainer() *RoutingLog {
	visits, err := lru.New[string, RoutingRecord](explained)
	if err != nil {
		panic(err)
	}
	return &RoutingLog{visits: visits}
}

// Lookup gives what is known of a request.
func (routinglog *RoutingLog) Lookup(request string) (RoutingRecord, bool) {
	return routinglog.visits.Get(request)
}

func (routinglog *RoutingLog) note(routingrecord RoutingRecord) {
	routinglog.visits.Add(routingrecord.Request, routingrecord)
}
