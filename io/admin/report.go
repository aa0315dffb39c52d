package admin

import (
	"time"

	"hickorybend/core/group"
	"hickorybend/core/roster"
)

// Report is a node's view of the deployment. Head is the version of the configuration
// that the node holds. Leases lists the services whose placement lease the node holds.
// StrandedHosts counts the hosts of model services that are in no complete serving
// replica.
type Report struct {
	Node               string           `json:"node"`
	Zone               string           `json:"zone"`
	Serving            bool             `json:"serving"`
	Head               int64            `json:"head"`
	StoreReachable     bool             `json:"store-up"`
	Leases             []string         `json:"leases"`
	Nodes              []roster.Node    `json:"nodes"`
	Replicas           []ReplicaReport  `json:"replicas"`
	Endpoints          []EndpointReport `json:"endpoints"`
	StrandedHosts      int              `json:"stranded-hosts"`
	IncompleteReplicas int              `json:"replicas-not-whole"`
}

// ReplicaReport is one replica as a node sees it. The replica is complete while the
// recent status of every member is ready and matches the replica's row. InFlight counts
// this node's own requests; Load counts the requests of all nodes that run or wait on
// the first host, the member of rank 0, as that host last reported.
type ReplicaReport struct {
	Replica  group.Replica `json:"replica"`
	Complete bool          `json:"whole"`
	Ejected  bool          `json:"ejected"`
	InFlight int           `json:"in-flight"`
	Load     int           `json:"load"`
}

// EndpointReport is one endpoint as a node sees it. Replica, Running and Waiting are as
// the endpoint last reported them; Fresh means that the report is recent enough to rely
// on. Domain is the fabric domain of the endpoint's host.
type EndpointReport struct {
	Host     string `json:"host"`
	Service  string `json:"service"`
	Zone     string `json:"zone"`
	Domain   string `json:"domain"`
	Address  string `json:"address"`
	Fresh    bool   `json:"seen"`
	Draining bool   `json:"leaving"`
	Replica  string `json:"replica"`
	Running  int    `json:"running"`
	Waiting  int    `json:"waiting"`
}

// Section is one section of the configuration with its version.
type Section struct {
	Name    string `json:"name"`
	Version int64  `json:"version"`
	Body    string `json:"body"`
}

// Conflict is a section that another operator changed since the base version.
type Conflict struct {
	Name     string `json:"name"`
	Base     string `json:"base"`
	Current  string `json:"current"`
	Proposed string `json:"asked"`
}

// ApplyResult is the outcome of a change. If it is accepted, Head is its version
// and the nodes are listed by whether they acknowledged it. If its outcome is
// unknown, Head is the version that it has if it was accepted. Otherwise nothing
// took effect and Head is the version in force: the change has conflicts or changes
// nothing, or some nodes with a recent heartbeat did not acknowledge the notice that
// precedes a change; NoticeUnacknowledged lists them.
type ApplyResult struct {
	Head                 int64      `json:"head"`
	Unchanged            bool       `json:"unchanged"`
	Unknown              bool       `json:"unknown"`
	Sections             []string   `json:"sections"`
	Conflicts            []Conflict `json:"conflicts"`
	Acknowledged         []string   `json:"told"`
	Unacknowledged       []string   `json:"untold"`
	NoticeUnacknowledged []string   `json:"deaf"`
}

// ConfigSnapshot is the stored configuration as of a head version.
type ConfigSnapshot struct {
	Head     int64     `json:"head"`
	Sections []Section `json:"sections"`
	Text     string    `json:"text"`
}

// Change is an accepted change of the configuration.
type Change struct {
	Version  int64     `json:"version"`
	Operator string    `json:"operator"`
	At       time.Time `json:"at"`
	Sections []string  `json:"sections"`
}

// Explanation is how a request was routed and how it ended. Ended is "whole" or
// "answered" after a complete response, else the last error.
type Explanation struct {
	Found      bool      `json:"found"`
	Request    string    `json:"request"`
	Team       string    `json:"team"`
	Service    string    `json:"service"`
	ReceivedAt time.Time `json:"came"`
	Attempts   []Attempt `json:"attempts"`
	Ended      string    `json:"ended"`
}

// Attempt is one attempt to run a request. Target is the replica or endpoint that was
// picked, and Load its estimated load before the attempt. Candidates is the number of
// entries of the routing table. Offset is the token from which a stream was generated;
// it is above 0 for a resumed stream. Error is "refused" or "broken" if a stream
// failed.
type Attempt struct {
	Target     string `json:"target"`
	Load       int    `json:"load"`
	Candidates int    `json:"candidates"`
	Offset     int    `json:"offset"`
	Error      string `json:"failed"`
}

// DrainRequest starts the drain of an endpoint, a replica or a zone, or cancels it.
type DrainRequest struct {
	Kind   string `json:"kind"`
	Name   string `json:"name"`
	Cancel bool   `json:"lift"`
}
