package edge

import (
	"time"

	"hickorybend/core/fleet"
	"hickorybend/core/lease"
	"hickorybend/core/rows"
	"hickorybend/io/gossip"
	"hickorybend/platform"
)

// message is what control learns: each of the types below.
type message interface {
	message()
}

// tableChanged brings rows of a followed table.
type tableChanged struct {
	table int
	batch platform.Batch
	from  source
}

// source tells where rows came from.
type source string

const (
	fromStore source = "store"
	fromPeer  source = "peer"
)

// tableSilent says that a followed table cannot be read now.
type tableSilent struct {
	table int
	cause error
}

// heard brings another node's digest.
type heard struct {
	digest gossip.Digest
}

// unheard says that a node does not answer.
type unheard struct {
	node string
}

// suspected names an endpoint that may be lost.
type suspected struct {
	endpoint string
}

// probed brings the outcome of asking an endpoint.
type probed struct {
	id     string
	alive  bool
	report fleet.Endpoint
	asked  time.Time
}

// ordered brings the outcome of a command.
type ordered struct {
	service string
	command fleet.Command
	reply   fleet.Reply
}

// claimed brings the outcome of a lease's transaction.
type claimed struct {
	action  lease.Action
	outcome rows.Outcome
}

// leave asks control to give its lease up; done is closed when that was tried.
type leave struct {
	done chan struct{}
}

func (tableChanged) message() {}
func (tableSilent) message()  {}
func (heard) message()        {}
func (unheard) message()      {}
func (suspected) message()    {}
func (probed) message()       {}
func (ordered) message()      {}
func (claimed) message()      {}
func (leave) message()        {}
