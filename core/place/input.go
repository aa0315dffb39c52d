package place

import (
	"time"

	"hickorybend/core/group"
	"hickorybend/core/intent"
)

// Host is a host of the service as placement sees it. Usable means that the
// latest status of its endpoint may still be relied on. IdleSince is the time
// since which the host is in no replica; it is zero while the host is in one.
type Host struct {
	Row         group.Host
	Address     string
	Zone        string
	Domain      string
	Incarnation string
	Usable      bool
	Draining    bool
	IdleSince   time.Time
}

// Replica is a replica's row and the present state of its members.
type Replica struct {
	Replica        group.Replica
	Complete       bool     // every member has confirmed its rank
	Drained        bool     // draining, with no work left or past its deadline
	DrainRequested bool     // operators have requested its drain
	Lost           []string // hosts that are unlisted, unresponsive or restarted
}

// Input is everything that one decision depends on. WantedReplicas is the
// number of replicas that demand needs. MayShrink is set once the record of
// demand is long enough to show that demand has fallen.
type Input struct {
	Now            time.Time
	Policy         Policy
	Service        intent.Service
	Objective      intent.Objective
	Replicas       []Replica
	Hosts          []Host
	WantedReplicas int
	MayShrink      bool
}

// Action is one change that placement decides on: Form, Serve, Repair, Rejoin,
// Drain, Release or HandBack.
type Action interface {
	action()
}

// Form makes a new replica out of hosts in one fabric domain.
type Form struct {
	Hosts []Host
}

// Serve lets a replica serve, once all its members have confirmed their ranks.
type Serve struct {
	Replica group.Replica
}

// Repair replaces a lost host by a spare.
type Repair struct {
	Replica group.Replica
	Lost    string
	Spare   Host
}

// Rejoin updates the members of a replica whose lost hosts are back as new
// incarnations.
type Rejoin struct {
	Replica group.Replica
	Members []group.Member
}

// Drain stops new work on a replica.
type Drain struct {
	Replica group.Replica
	Reason  string
}

// Release frees the hosts of a replica that does no more work.
type Release struct {
	Replica group.Replica
	Reason  string
}

// HandBack returns a host to the platform.
type HandBack struct {
	Host Host
}

func (Form) action()     {}
func (Serve) action()    {}
func (Repair) action()   {}
func (Rejoin) action()   {}
func (Drain) action()    {}
func (Release) action()  {}
func (HandBack) action() {}

// freeHosts returns the hosts that can join a replica now, by fabric domain.
func (input Input) freeHosts() map[string][]Host {
	byDomain := map[string][]Host{}
	for _, host := range input.Hosts {
		if host.Row.Replica == "" && host.Usable && !host.Draining {
			byDomain[host.Domain] = append(byDomain[host.Domain], host)
		}
	}
	return byDomain
}

func (input Input) host(name string) (Host, bool) {
	for _, host := range input.Hosts {
		if host.Row.Name == name {
			return host, true
		}
	}
	return Host{}, false
}

// active returns the number of replicas that serve or load.
func (input Input) active() int {
	count := 0
	for _, replica := range input.Replicas {
		if replica.Replica.State == group.StateServing || replica.Replica.State == group.StateLoading {
			count++
		}
	}
	return count
}

// loading returns the number of replicas that load and have lost no member.
func (input Input) loading() int {
	count := 0
	for _, replica := range input.Replicas {
		if replica.Replica.State == group.StateLoading && len(replica.Lost) == 0 {
			count++
		}
	}
	return count
}
