package admin

import (
	"time"

	"hickorybend/core/group"
	"hickorybend/core/roster"
)

// Report is the control state of a node as operators see it.
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

// ReplicaReport is one replica as a node sees it.
type ReplicaReport struct {
	Replica  group.Replica `json:"replica"`
	Complete bool          `json:"whole"`
	Ejected  bool          `json:"ejected"`
	InFlight int           `json:"in-flight"`
	Load     int           `json:"load"`
}

// EndpointReport is one endpoint as a node sees it.
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

// Conflict is a section that another operator changed first.
type Conflict struct {
	Name     string `json:"name"`
	Base     string `json:"base"`
	Current  string `json:"current"`
	Proposed string `json:"asked"`
}

// ApplyResult is what became of a change: accepted as a head version, without
// effect because of conflicts or of deaf nodes, which are alive by their rows
// and could not be told of the change first, or of unknown outcome.
type ApplyResult struct {
	Head           int64      `json:"head"`
	Unchanged      bool       `json:"unchanged"`
	Unknown        bool       `json:"unknown"`
	Sections       []string   `json:"sections"`
	Conflicts      []Conflict `json:"conflicts"`
	Acknowledged   []string   `json:"told"`
	Unacknowledged []string   `json:"untold"`
	Unresponsive   []string   `json:"deaf"`
}

// ConfigSnapshot is the configuration in the store.
type ConfigSnapshot struct {
	Head     int64     `json:"head"`
	Sections []Section `json:"sections"`
	Text     string    `json:"text"`
}

// Change is one accepted change.
type Change struct {
	Version  int64     `json:"version"`
	Operator string    `json:"operator"`
	At       time.Time `json:"at"`
	Sections []string  `json:"sections"`
}

// Explanation is why a request went where it did.
type Explanation struct {
	Found      bool      `json:"found"`
	Request    string    `json:"request"`
	Team       string    `json:"team"`
	Service    string    `json:"service"`
	ReceivedAt time.Time `json:"came"`
	Attempts   []Attempt `json:"attempts"`
	Ended      string    `json:"ended"`
}

// Attempt is one sending of a request.
type Attempt struct {
	Target     string `json:"target"`
	Load       int    `json:"load"`
	Candidates int    `json:"candidates"`
	Offset     int    `json:"offset"`
	Error      string `json:"failed"`
}

// DrainRequest says which order to drain stands or was lifted.
type DrainRequest struct {
	Kind   string `json:"kind"`
	Name   string `json:"name"`
	Cancel bool   `json:"lift"`
}
