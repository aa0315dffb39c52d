package fleet

import "time"

// Policy holds the times and weights of placement.
type Policy struct {
	Stall        time.Duration // a first host that lost a member stands still so long before it breaks
	StallMargin  time.Duration // added to it before its members are used elsewhere
	LateOrder    time.Duration // an order that nobody answered may be carried out so late
	Settle       time.Duration // endpoints that appear within this of one another are placed together
	StrayGrace   time.Duration // members of an unknown replica may appear so far apart
	ToldLag      time.Duration // how old the last word of a holder may be when it is heard
	OrderRetry   time.Duration // between two sends of the same order
	RefusedRetry time.Duration // after a refusal, until the endpoint has said what it counts
	StageRetry   time.Duration // after a refused staging: the host is at another one
	FormLimit    time.Duration // a replica of prepared hosts that is not whole by then is given up
	RetireLimit  time.Duration // how long work under way holds back the end of a replica that loses a host
	Reserve      float64       // part of the endpoints that stay spares while load is low
	ConvertLimit time.Duration // for the work under way at a replica that gives its hosts to another model
	ConvertNeed  float64       // how much more that other model has to lack replicas
	HighLoad     float64       // part of a model's slots above which spares are used too
	LoadPace     float64       // part of the weight store's rate that is used
	ShareMemory  time.Duration // of all hosts' time, that the configured shares count like
	ConvertPart  float64       // part of the endpoints that may be on their way to another model at once
	SecondPart   float64       // part of the loads at once that may be for hosts which serve
}

// DefaultPolicy repairs from staged spares within two seconds.
func DefaultPolicy() Policy {
	return Policy{
		Stall: 6 * time.Second, StallMargin: 700 * time.Millisecond, LateOrder: 12500 * time.Millisecond, Settle: 1300 * time.Millisecond,
		StrayGrace: 3 * time.Second, ToldLag: time.Second, OrderRetry: 700 * time.Millisecond, RefusedRetry: 300 * time.Millisecond, StageRetry: 3 * time.Second, FormLimit: 6 * time.Second,
		RetireLimit: 1500 * time.Millisecond, Reserve: 0.03, ConvertLimit: 2500 * time.Millisecond, ConvertNeed: 1.15, HighLoad: 0.75, LoadPace: 0.8, ShareMemory: 4 * time.Second,
		ConvertPart: 0.04, SecondPart: 0.6,
	}
}
