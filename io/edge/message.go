package edge

import (
	"time"

	"hickorybend/core/fleet"
	"hickorybend/core/lease"
	"hickorybend/core/rows"
	"hickorybend/io/gossip"
	"hickorybend/platform"
)

// message is an input of Control: one of the types below, nodeRowResult or
// tableFetched.
type message interface {
	message()
}

// tableChanged carries rows of a followed table.
type tableChanged struct {
	table int
	batch platform.Batch
	from  source

	evacuations *gossip.Evacuations // with the configuration from another node
}

// source is where rows were read, or why one counts as removed.
type source string

const (
	fromStore  source = "store"
	fromPeer   source = "peer"
	fromAnswer source = "answer" // of the endpoint itself
	fromGrace  source = "grace"  // it has not come back within removalGrace
)

// tableUnavailable reports that the store did not answer a read or poll of a
// table.
type tableUnavailable struct {
	table int
	cause error
}

// digestReceived carries another node's digest.
type digestReceived struct {
	digest  gossip.Digest
	askedAt time.Time // when this node asked for it; zero if the other node sent it unasked
}

// peerUnresponsive reports that another node did not answer an exchange.
type peerUnresponsive struct {
	node    string
	refused bool // its host refused the connection, or another node has its address
}

// endpointSuspected names an endpoint that may be unresponsive.
type endpointSuspected struct {
	endpoint string
}

// probeResult is the outcome of a probe.
type probeResult struct {
	id        string
	alive     bool // the endpoint answered
	connected bool // it did not, but accepted a connection
	refused   bool // it has refused or ended the connection
	report    fleet.Endpoint
	sentAt    time.Time
}

// commandResult is the outcome of a command.
type commandResult struct {
	service string
	command fleet.Command
	reply   fleet.Reply
}

// leaseResult is the outcome of a transaction on the lease.
type leaseResult struct {
	action  lease.Action
	outcome rows.Outcome
}

// drainRequest asks Control to drain: to release its lease and to report that the
// node is not ready. done is closed after the attempt to release.
type drainRequest struct {
	done chan struct{}
}

func (tableChanged) message()      {}
func (tableUnavailable) message()  {}
func (digestReceived) message()    {}
func (peerUnresponsive) message()  {}
func (endpointSuspected) message() {}
func (probeResult) message()       {}
func (commandResult) message()     {}
func (leaseResult) message()       {}
func (drainRequest) message()      {}
