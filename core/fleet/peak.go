package fleet

import "time"

// Peak is the demand at the peak of the load, from which the planner decides how many
// replicas each model needs. It is the recent maximum and not the mean, because a load
// that rises and falls within seconds leaves no time to move replicas with it.
type Peak struct {
	Hosts map[string]float64 // hosts that the requests for each model keep busy with full batches
	Known float64            // how much of a period of the load has been seen, from 0 to 1
}

const (
	// peakWindow is the time over which the maximum is taken. Loads have periods of
	// about 13 s; a shorter window would follow the load down.
	peakWindow = 20 * time.Second
	// peakSmoothing is the time over which samples are averaged before the maximum is
	// taken, so that a burst of a second does not count as the peak.
	peakSmoothing = 3 * time.Second
	// peakPeriod is the time after which the peak counts as fully known.
	peakPeriod = 13 * time.Second
)

// peakSample is the demand between two calls of Add.
type peakSample struct {
	at    time.Time // end of the time that it covers
	since time.Time // its start
	work  map[string]float64
}

// peakRecord holds the samples of the last peakWindow.
type peakRecord struct {
	firstAt time.Time // of the first sample with any demand
	lastAt  time.Time // of the last sample
	samples []peakSample
}

// add records the demand since the last call, in host-seconds by model.
func (peakrecord *peakRecord) add(now time.Time, added map[string]float64) {
	total := 0.0
	for _, work := range added {
		total += work
	}
	if peakrecord.firstAt.IsZero() && total == 0 {
		peakrecord.lastAt = now
		return
	}
	if peakrecord.firstAt.IsZero() {
		peakrecord.firstAt = now
	}
	if !peakrecord.lastAt.IsZero() && now.After(peakrecord.lastAt) {
		peakrecord.samples = append(peakrecord.samples, peakSample{at: now, since: peakrecord.lastAt, work: added})
	}
	peakrecord.lastAt = now
	for len(peakrecord.samples) > 0 && now.Sub(peakrecord.samples[0].at) > peakWindow {
		peakrecord.samples = peakrecord.samples[1:]
	}
}

// peak returns the highest demand of each model.
func (peakrecord *peakRecord) peak(now time.Time) Peak {
	peak := Peak{Hosts: map[string]float64{}}
	if peakrecord.firstAt.IsZero() {
		return peak
	}
	peak.Known = min(1, now.Sub(peakrecord.firstAt).Seconds()/peakPeriod.Seconds())
	for i := range peakrecord.samples {
		work, first := map[string]float64{}, i
		for first >= 0 && peakrecord.samples[i].at.Sub(peakrecord.samples[first].since) <= peakSmoothing {
			for model, added := range peakrecord.samples[first].work {
				work[model] += added
			}
			first--
		}
		first = min(first+1, i)
		seconds := peakrecord.samples[i].at.Sub(peakrecord.samples[first].since).Seconds()
		if seconds < peakSmoothing.Seconds()/2 {
			continue // too short for a mean
		}
		for model, total := range work {
			peak.Hosts[model] = max(peak.Hosts[model], total/seconds)
		}
	}
	return peak
}
