package intent

import "time"

// Spec is the operators' spec of one deployment.
type Spec struct {
	Deployment string    `json:"deployment"`
	Zones      []Zone    `json:"zones"`
	Objective  Objective `json:"objective"`
	Services   []Service `json:"services"`
	Teams      []Team    `json:"teams"`
}

// Zone is an availability zone and its region.
type Zone struct {
	Name   string `json:"name"`
	Region string `json:"region"`
}

// Objective sets the weights of the two costs that placement trades off: downtime
// of replicas, and stranded hosts. A host is stranded while a service holds it and
// it serves in no complete replica.
type Objective struct {
	DowntimeWeight float64 `json:"downtime-weight"`
	StrandedWeight float64 `json:"stranded-weight"`
}

// Kind is the kind of a service: it serves a model or is a plain HTTP service.
type Kind string

// The kinds of service.
const (
	KindModel Kind = "model"
	KindPlain Kind = "plain"
)

// Service is a service of the deployment. The fields from Model to DrainTimeout are
// for model services, PathPrefix and AtMostOnceCalls for plain services.
type Service struct {
	Name            string           `json:"name"`
	Kind            Kind             `json:"kind"`
	DependsOn       []string         `json:"depends-on"`
	Model           string           `json:"model"`
	Version         string           `json:"version"`
	Adapters        []string         `json:"adapters"`
	HostsPerReplica int              `json:"hosts-per-replica"`
	MinReplicas     int              `json:"min-replicas"`
	MaxReplicas     int              `json:"max-replicas"`
	ReplicaStreams  int              `json:"replica-streams"` // streams that a replica batches at once
	ChecksFencing   bool             `json:"checks-fencing"`  // whether the endpoints reject commands with an old fencing number
	SpreadZones     bool             `json:"spread-zones"`    // whether replicas are spread over the zones
	DrainTimeout    time.Duration    `json:"drain-limit"`     // maximum time that a replica drains
	PathPrefix      string           `json:"path-prefix"`
	AtMostOnceCalls []AtMostOnceCall `json:"once-calls"`
}

// AtMostOnceCall is a call of a plain service that runs at most once. Path is
// relative to the service's path prefix.
type AtMostOnceCall struct {
	Method string `json:"method"`
	Path   string `json:"path"`
}

// Team is a team that calls the services. It authenticates with one of the keys
// whose SHA-256 hashes are listed. MaxConcurrent limits its requests in flight.
type Team struct {
	Name              string   `json:"name"`
	KeySHA256         []string `json:"key-sha256"`
	Priority          Priority `json:"priority"`
	RequestsPerSecond float64  `json:"requests-per-second"`
	TokensPerSecond   float64  `json:"tokens-per-second"`
	MaxConcurrent     int      `json:"concurrent"`
}

// Priority is the priority of a team's requests; a request may ask for a lower one.
type Priority string

// The priorities, highest first.
const (
	PriorityLive     Priority = "live"
	PriorityStandard Priority = "standard"
	PriorityBatch    Priority = "batch"
)

// Rank returns the rank of a priority: 0 for the highest, -1 for a value that is
// no priority.
func (priority Priority) Rank() int {
	switch priority {
	case PriorityLive:
		return 0
	case PriorityStandard:
		return 1
	case PriorityBatch:
		return 2
	default:
		return -1
	}
}
