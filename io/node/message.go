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

// message is what reaches the control goroutine; nothing else changes its state.
type message interface {
	message()
}

// headRead is the answer to a look at the configuration's head.
type headRead struct {
	row  rows.Row
	err  error
	from time.Time
}

// partRead is the answer to a list of a partition.
type partRead struct {
	part string
	rows []rows.Row
	err  error
	from time.Time
}

// minds are what other nodes said of the configuration.
type minds struct {
	witnesses []config.PeerStatus
	rows      []rows.Row
}

// hostsRead is the platform's list.
type hostsRead struct {
	hosts []hosts.Host
	err   error
}

// probed is an endpoint's answer to a probe.
type probed struct {
	host  string
	sight watch.Observation
	err   error
}

// leased is the outcome of a lease's action.
type leased struct {
	name    string
	action  lease.Action
	outcome rows.Outcome
}

// beaten is the outcome of the renewal of this node's own row.
type beaten struct {
	put     rows.Put
	write   string
	outcome rows.Outcome
}

// moved is the outcome of a placement move.
type moved struct {
	service string
	move    place.Action
	outcome rows.Outcome
	changed []rows.Row
}

// ordered says that an order to an endpoint has ended.
type ordered struct {
	host string
	err  error
}

// warned is a change that is about to be tried, or is off.
type warned struct {
	warning peers.ChangeNotice
	done    chan struct{}
}

// pushed are rows that another node or this node's operators' service sent.
type pushed struct {
	rows []rows.Row
}

// leaving asks control to give up what it holds, in the last step its own row
// too, and to answer when it has.
type leaving struct {
	last bool
	done chan struct{}
}

func (headRead) message()  {}
func (partRead) message()  {}
func (minds) message()     {}
func (hostsRead) message() {}
func (probed) message()    {}
func (leased) message()    {}
func (beaten) message()    {}
func (moved) message()     {}
func (ordered) message()   {}
func (warned) message()    {}
func (pushed) message()    {}
func (leaving) message()   {}
