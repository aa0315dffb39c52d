package fleet

import "time"

// Policy holds the times and weights of placement.
type Policy struct {
	StallTimeout        time.Duration // a first host that lost a member stands still so long before it breaks
	StallMargin         time.Duration // added to it before its members are used elsewhere
	MaxCommandDelay     time.Duration // an order that nobody answered may be carried out so late
	Debounce            time.Duration // endpoints that appear within this of one another are placed together
	AdoptionGrace       time.Duration // members of an unknown replica may appear so far apart
	MaxReportAge        time.Duration // how old the last word of a holder may be when it is heard
	CommandRetry        time.Duration // between two sends of the same order
	RejectedRetry       time.Duration // after a refusal, until the endpoint has said what it counts
	StageRetry          time.Duration // after a refused staging: the host is at another one
	FormTimeout         time.Duration // a replica of prepared hosts that is not whole by then is given up
	RetireTimeout       time.Duration // how long work under way holds back the end of a replica that loses a host
	SpareFraction       float64       // part of the endpoints that stay spares while load is low
	ConvertTimeout      time.Duration // for the work under way at a replica that gives its hosts to another model
	ConvertRatio        float64       // how much more that other model has to lack replicas
	HighLoad            float64       // part of a model's slots above which spares are used too
	LoadRateFraction    float64       // part of the weight store's rate that is used
	SharePrior          time.Duration // of all hosts' time, that the configured shares count like
	ConvertFraction     float64       // part of the endpoints that may be on their way to another model at once
	ServingLoadFraction float64       // part of the loads at once that may be for hosts which serve
}

// DefaultPolicy repairs from staged spares within two seconds.
func DefaultPolicy() Policy {
	return Policy{
		StallTimeout: 6 * time.Second, StallMargin: 700 * time.Millisecond, MaxCommandDelay: 12500 * time.Millisecond, Debounce: 1300 * time.Millisecond,
		AdoptionGrace: 3 * time.Second, MaxReportAge: time.Second, CommandRetry: 700 * time.Millisecond, RejectedRetry: 300 * time.Millisecond, StageRetry: 3 * time.Second, FormTimeout: 6 * time.Second,
		RetireTimeout: 1500 * time.Millisecond, SpareFraction: 0.03, ConvertTimeout: 2500 * time.Millisecond, ConvertRatio: 1.15, HighLoad: 0.75, LoadRateFraction: 0.8, SharePrior: 4 * time.Second,
		ConvertFraction: 0.04, ServingLoadFraction: 0.6,
	}
}
