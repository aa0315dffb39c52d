package node

import (
	"time"

	"hickorybend/core/config"
	"hickorybend/core/lease"
	"hickorybend/core/place"
	"hickorybend/core/rows"
	"hickorybend/core/watch"
	"hickorybend/io/hosts"
	"hickorybend/io/peers"
)

// message is an input of the control goroutine: one of the types below, demandResult
// or noopResult. Only messages and ticks change the control state.
type message interface {
	message()
}

// headResult is the outcome of a read of the configuration's head.
type headResult struct {
	row       rows.Row
	err       error
	startedAt time.Time // when the read began
}

// partitionResult is the outcome of a read of a partition. For the configuration,
// the last row carries only the head's version; see fetchConfig.
type partitionResult struct {
	partition string
	rows      []rows.Row
	err       error
	startedAt time.Time // when the read began
}

// peerStatusResult holds the configuration statuses that other nodes replied with, and
// the rows that came with them.
type peerStatusResult struct {
	statuses []config.PeerStatus
	rows     []rows.Row
}

// hostListResult is the outcome of a read of the platform's host list.
type hostListResult struct {
	hosts []hosts.Host
	err   error
}

// probeResult is the outcome of a probe of an endpoint.
type probeResult struct {
	host        string
	observation watch.Observation
	err         error
}

// leaseResult is the outcome of a transaction on a lease.
type leaseResult struct {
	name    string
	action  lease.Action
	outcome rows.Outcome
}

// heartbeatResult is the outcome of a write of this node's own row.
type heartbeatResult struct {
	put     rows.Put
	writeID string
	outcome rows.Outcome
}

// actionResult is the outcome of a placement action. changed holds the replica rows
// that the action wrote if it was committed.
type actionResult struct {
	service string
	action  place.Action
	outcome rows.Outcome
	changed []rows.Row
}

// commandResult is the outcome of a command to an endpoint.
type commandResult struct {
	host string
	err  error
}

// noticeReceived is a notice of a change that is about to be committed, or was
// aborted. done is closed once the notice is recorded.
type noticeReceived struct {
	notice peers.ChangeNotice
	done   chan struct{}
}

// rowsReceived holds rows that another node or this node's operators' API sent. It is
// empty as the result of background work that has nothing to report.
type rowsReceived struct {
	rows []rows.Row
}

// drainRequest asks control to release its leases and, with removeRow, to delete this
// node's row. done is closed once the transactions have ended, whatever their outcome.
type drainRequest struct {
	removeRow bool
	done      chan struct{}
}

func (headResult) message()       {}
func (partitionResult) message()  {}
func (peerStatusResult) message() {}
func (hostListResult) message()   {}
func (probeResult) message()      {}
func (leaseResult) message()      {}
func (heartbeatResult) message()  {}
func (actionResult) message()     {}
func (commandResult) message()    {}
func (noticeReceived) message()   {}
func (rowsReceived) message()     {}
func (drainRequest) message()     {}
