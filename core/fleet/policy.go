package fleet

import "time"

// Policy holds the timeouts, ratios and limits of placement.
type Policy struct {
	StallTimeout        time.Duration // a first host that lacks a member stalls this long, then breaks
	StallMargin         time.Duration // added to StallTimeout before its members may join other replicas
	MaxCommandDelay     time.Duration // for this long a command without a reply may still take effect
	Debounce            time.Duration // before the first request, endpoints that appear within this time of one another are placed together
	AdoptionGrace       time.Duration // how long an unknown replica may stay incomplete before it is ended
	CommandRetry        time.Duration // between two commands to the same endpoint, such as a command and its repetition
	RejectedRetry       time.Duration // after a rejected command; the endpoint reports its command count meanwhile
	StageRetry          time.Duration // after a rejected Stage: the host is loading another model
	FormTimeout         time.Duration // a replica of prepared hosts that is not complete by then is given up
	RetireTimeout       time.Duration // how long requests in flight delay the end of a replica with a draining member
	SpareFraction       float64       // fraction of the endpoints that the wanted replicas leave unused, as spares, while utilization is low
	ConvertTimeout      time.Duration // for the requests in flight at a replica whose hosts are given to another model
	ConvertRatio        float64       // how many times higher the score of a model has to be than that of the model that gives it a replica's hosts, counted without that replica
	HighUtilization     float64       // utilization of a model's slots above which it wants one more replica, even one made of spares
	LoadRateFraction    float64       // fraction of the weight store's rate that loads may use
	SharePrior          time.Duration // the configured shares weigh as much as the demand of all hosts over this time
	ConvertFraction     float64       // fraction of the endpoints that may be changing to another model at once
	MissingFraction     float64       // fraction of a new replica's hosts that may be missing for the others to wait for them
	ServingLoadFraction float64       // fraction of the concurrent weight loads that may go to hosts which serve
}

// DefaultPolicy returns a policy under which a replica is repaired within two
// seconds if spares have the model's weights staged.
func DefaultPolicy() Policy {
	return Policy{
		StallTimeout: 6 * time.Second, StallMargin: 700 * time.Millisecond, MaxCommandDelay: 12500 * time.Millisecond, Debounce: 1300 * time.Millisecond,
		AdoptionGrace: 3 * time.Second, CommandRetry: 700 * time.Millisecond, RejectedRetry: 300 * time.Millisecond, StageRetry: 3 * time.Second, FormTimeout: 6 * time.Second,
		RetireTimeout: 1500 * time.Millisecond, SpareFraction: 0.03, ConvertTimeout: 2500 * time.Millisecond, ConvertRatio: 1.15, HighUtilization: 0.75, LoadRateFraction: 0.8, SharePrior: 4 * time.Second,
		ConvertFraction: 0.04, MissingFraction: 1.0 / 3, ServingLoadFraction: 0.6,
	}
}
