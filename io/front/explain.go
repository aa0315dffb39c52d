package front

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

// RoutingRecord explains how a request was routed.
type RoutingRecord struct {
	Request    string
	Team       string
	Service    string
	ReceivedAt time.Time
	Attempts   []Attempt
	Result     string // "whole" or "answered" after a complete response, else the last error
}

// Attempt is one attempt to serve a request on a replica or endpoint.
type Attempt struct {
	Target     string
	Load       int    // estimated streams at the target before this attempt
	Candidates int    // entries of the routing table
	Offset     int    // token offset at which a stream was resumed
	Error      string // "refused" or "broken" if a stream failed
}

// RoutingLog keeps the routing records of this node's latest requests.
type RoutingLog struct {
	records *lru.Cache[string, RoutingRecord]
}

const routingLogSize = 512

func newRoutingLog() *RoutingLog {
	records, err := lru.New[string, RoutingRecord](routingLogSize)
	if err != nil {
		panic(err)
	}
	return &RoutingLog{records: records}
}

// Lookup returns the routing record of a request, if it is still kept.
func (routinglog *RoutingLog) Lookup(request string) (RoutingRecord, bool) {
	return routinglog.records.Get(request)
}

func (routinglog *RoutingLog) add(routingrecord RoutingRecord) {
	routinglog.records.Add(routingrecord.Request, routingrecord)
}
