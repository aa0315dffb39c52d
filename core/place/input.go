package place

import (
	"time"

	"hickorybend/core/group"
	"hickorybend/core/intent"
)

// Host is what placement knows of a host that could serve a service.
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

// Replica is a replica with what is known of its members now; Emptied says that
// operators have ordered it to be drained.
type Replica struct {
	Replica        group.Replica
	Complete       bool
	Drained        bool
	DrainRequested bool
	Lost           []string
}

// Input is everything one decision rests on; it may shrink once demand has been
// remembered for long enough to know that it fell.
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

// Action is one change that placement wants: Form, Serve, Repair, Renew, Drain,
// Release or HandBack.
type Action interface {
	move()
}

// Form makes a new replica of hosts in one fabric domain.
type Form struct {
	Hosts []Host
}

// Serve lets a replica whose members have all confirmed their places serve.
type Serve struct {
	Replica group.Replica
}

// Repair puts a spare in a lost host's place.
type Repair struct {
	Replica group.Replica
	Lost    string
	Spare   Host
}

// Rejoin takes hosts back into their places that returned as new incarnations.
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

// HandBack gives a host back to the platform.
type HandBack struct {
	Host Host
}

func (Form) move()     {}
func (Serve) move()    {}
func (Repair) move()   {}
func (Rejoin) move()   {}
func (Drain) move()    {}
func (Release) move()  {}
func (HandBack) move() {}

// free lists the hosts that can join a replica now, by fabric domain.
func (input Input) free() map[string][]Host {
	domains := map[string][]Host{}
	for _, host := range input.Hosts {
		if host.Row.Replica == "" && host.Usable && !host.Draining {
			domains[host.Domain] = append(domains[host.Domain], host)
		}
	}
	return domains
}

func (input Input) host(name string) (Host, bool) {
	for _, host := range input.Hosts {
		if host.Row.Name == name {
			return host, true
		}
	}
	return Host{}, false
}

// working counts the replicas that serve or will.
func (input Input) working() int {
	count := 0
	for _, replica := range input.Replicas {
		if replica.Replica.State == group.StateServing || replica.Replica.State == group.StateLoading {
			count++
		}
	}
	return count
}

func (input Input) loading() int {
	count := 0
	for _, replica := range input.Replicas {
		if replica.Replica.State == group.StateLoading && len(replica.Lost) == 0 {
			count++
		}
	}
	return count
}
