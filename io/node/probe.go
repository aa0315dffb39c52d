package node

import (
	"context"
	"math/rand/v2"
	"time"

	"hickorybend/core/watch"
)

// probe is the state of watching one endpoint.
type probe struct {
	running bool
	dueAt   time.Time
}

// probeAll asks each endpoint that is due; the first questions are spread over
// the interval, so that they do not all leave at once.
func (control *Control) probeAll(now time.Time) {
	every := control.settings.Watch.ProbeInterval
	for name, host := range control.listed {
		if host.Service == nodeService {
			continue
		}
		state, known := control.probes[name]
		if !known {
			state = &probe{dueAt: now.Add(rand.N(every))}
			control.probes[name] = state
		}
		if state.running || now.Before(state.dueAt) {
			continue
		}
		state.running = true
		state.dueAt = now.Add(every)
		control.effect(control.probeOne(name, host.Address))
	}
}

func (control *Control) probeOne(name, address string) func(ctx context.Context) message {
	limit := control.settings.Watch.ProbeTimeout
	return func(ctx context.Context) message {
		ctx, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		at := time.Now()
		status, err := control.outside.Engines.Probe(ctx, address)
		return probed{host: name, sight: watch.Observation{Status: status, At: at}, err: err}
	}
}

// takeProbe takes in an answer. One that names another host than the one asked
// is not evidence of anything.
func (control *Control) takeProbe(probed probed, now time.Time) {
	state, known := control.probes[probed.host]
	if !known {
		return
	}
	state.running = false
	if probed.err != nil || probed.sight.Status.Host != probed.host {
		control.meter.Count("probes_failed", "")
		return
	}
	control.board.Record(probed.sight)
	control.lastSeen[probed.host] = now
}
