package intent

import "time"

// Spec is one deployment's intent as its operators write it.
type Spec struct {
	Deployment string    `json:"deployment"`
	Zones      []Zone    `json:"zones"`
	Objective  Objective `json:"objective"`
	Services   []Service `json:"services"`
	Teams      []Team    `json:"teams"`
}

// Zone is an availability zone and the region it lies in.
type Zone struct {
	Name   string `json:"name"`
	Region string `json:"region"`
}

// Objective weighs the two measures that placement trades against each other.
type Objective struct {
	DowntimeWeight float64 `json:"downtime-weight"`
	StrandedWeight float64 `json:"stranded-weight"`
}

// Kind tells how a service is served.
type Kind string

// The kinds of service.
const (
	KindModel Kind = "model"
	KindPlain Kind = "plain"
)

// Service is one service and what it depends on.
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
	ReplicaStreams  int              `json:"replica-streams"`
	ChecksFencing   bool             `json:"checks-fencing"`
	SpreadZones     bool             `json:"spread-zones"`
	DrainLimit      time.Duration    `json:"drain-limit"`
	PathPrefix      string           `json:"path-prefix"`
	AtMostOnceCalls []AtMostOnceCall `json:"once-calls"`
}

// AtMostOnceCall is a call of a plain service that may not be repeated.
type AtMostOnceCall struct {
	Method string `json:"method"`
	Path   string `json:"path"`
}

// Team is a customer of the services with its keys and limits.
type Team struct {
	Name              string   `json:"name"`
	KeySHA256         []string `json:"key-sha256"`
	Priority          Priority `json:"priority"`
	RequestsPerSecond float64  `json:"requests-per-second"`
	TokensPerSecond   float64  `json:"tokens-per-second"`
	Concurrent        int      `json:"concurrent"`
}

// Priority is the class of a team's requests unless a request asks for a lower one.
type Priority string

// The priorities, most urgent first.
const (
	PriorityLive     Priority = "live"
	PriorityStandard Priority = "standard"
	PriorityBatch    Priority = "batch"
)

// Rank orders priorities; a lower rank is served first, and -1 is no priority.
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
