package node

import (
	"context"
	"math/rand/v2"
	"time"

	"hickorybend/core/watch"
)

// probe is the state of the probes of one endpoint.
type probe struct {
	running bool
	dueAt   time.Time
}

// probeAll probes each endpoint that is due. The first probes are spread over the
// interval, so that they are not all sent at once.
func (control *Control) probeAll(now time.Time) {
	interval := control.settings.Watch.ProbeInterval
	for name, host := range control.listedHosts {
		if host.Service == nodeService {
			continue
		}
		state, known := control.probes[name]
		if !known {
			state = &probe{dueAt: now.Add(rand.N(interval))}
			control.probes[name] = state
		}
		if state.running || now.Before(state.dueAt) {
			continue
		}
		state.running = true
		state.dueAt = now.Add(interval)
		control.runInBackground(control.probeEndpoint(name, host.Address))
	}
}

// probeEndpoint returns the work that probes an endpoint. The age of the status counts
// from before the probe was sent.
func (control *Control) probeEndpoint(name, address string) func(ctx context.Context) message {
	timeout := control.settings.Watch.ProbeTimeout
	return func(ctx context.Context) message {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		sentAt := time.Now()
		status, err := control.dependencies.Engines.Probe(ctx, address)
		return probeResult{host: name, observation: watch.Observation{Status: status, At: sentAt}, err: err}
	}
}

// handleProbe records a status. A status that names another host than the one probed
// is no evidence for either host, and counts as a failed probe.
func (control *Control) handleProbe(result probeResult, now time.Time) {
	state, known := control.probes[result.host]
	if !known {
		return
	}
	state.running = false
	if result.err != nil || result.observation.Status.Host != result.host {
		control.meter.Count("probes_failed", "")
		return
	}
	control.tracker.Record(result.observation)
	control.lastSeen[result.host] = now
}
