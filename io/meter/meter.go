package meter

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"sync"
	"time"

	metrics "github.com/rcrowley/go-metrics"
)

// Meter holds every counter and histogram of the node.
type Meter struct {
	registry metrics.Registry
	mutex    sync.Mutex
	labels   map[string]bool
}

const (
	maxLabels      = 256
	otherLabel     = "other"
	reservoirSize  = 512
	reservoirAlpha = 0.015
	partSeparator  = "|"
	microsecond    = float64(time.Microsecond)
)

// Latencies are the histograms of one team or class.
type Latencies struct {
	FirstToken metrics.Histogram
	InterToken metrics.Histogram
	Total      metrics.Histogram
}

// New makes an empty meter.
func New() *Meter {
	return &Meter{registry: metrics.NewRegistry(), labels: map[string]bool{}}
}

// Count adds one to the counter with a name and a label.
func (meter *Meter) Count(name, label string) {
	meter.counter(name, label).Inc(1)
}

func (meter *Meter) counter(name, label string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name+partSeparator+meter.bound(label), meter.registry)
}

// Gauge sets the gauge with a name.
func (meter *Meter) Gauge(name string, value float64) {
	metrics.GetOrRegisterGaugeFloat64(name+partSeparator, meter.registry).Update(value)
}

// Latencies gives the histograms of a team or class.
func (meter *Meter) Latencies(label string) Latencies {
	return Latencies{
		FirstToken: meter.histogram("first_token_us", label),
		InterToken: meter.histogram("between_tokens_us", label),
		Total:      meter.histogram("whole_answer_us", label),
	}
}

// Observe adds a time to a histogram of microseconds.
func Observe(histogram metrics.Histogram, took time.Duration) {
	histogram.Update(int64(float64(took) / microsecond))
}

func (meter *Meter) histogram(name, label string) metrics.Histogram {
	key := name + partSeparator + meter.bound(label)
	return meter.registry.GetOrRegister(key, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(reservoirSize, reservoirAlpha))
	}).(metrics.Histogram)
}

// bound keeps the number of labels finite whatever callers send.
func (meter *Meter) bound(label string) string {
	meter.mutex.Lock()
	defer meter.mutex.Unlock()
	if meter.labels[label] {
		return label
	}
	if len(meter.labels) >= maxLabels {
		return otherLabel
	}
	meter.labels[label] = true
	return label
}

// WriteText writes every figure, in the text format of metric scrapers.
func (meter *Meter) WriteText(w io.Writer) {
	var lines []string
	meter.registry.Each(func(key string, metric any) {
		lines = append(lines, describe(key, metric)...)
	})
	sort.Strings(lines)
	_, _ = io.WriteString(w, strings.Join(lines, ""))
}

func describe(key string, metric any) []string {
	name, label, _ := strings.Cut(key, partSeparator)
	name = "hickorybend_" + name
	switch typed := metric.(type) {
	case metrics.Counter:
		return []string{line(name+"_total", label, "", float64(typed.Count()))}
	case metrics.GaugeFloat64:
		return []string{line(name, label, "", typed.Value())}
	case metrics.Histogram:
		shot := typed.Snapshot()
		return []string{
			line(name, label, "0.5", shot.Percentile(0.5)),
			line(name, label, "0.95", shot.Percentile(0.95)),
			line(name, label, "0.99", shot.Percentile(0.99)),
			line(name+"_count", label, "", float64(shot.Count())),
		}
	default:
		return nil
	}
}

func line(name, label, quantile string, value float64) string {
	var labels []string
	if label != "" {
		labels = append(labels, fmt.Sprintf("label=%q", label))
	}
	if quantile != "" {
		labels = append(labels, fmt.Sprintf("quantile=%q", quantile))
	}
	if len(labels) == 0 {
		return fmt.Sprintf("%s %g\n", name, value)
	}
	return fmt.Sprintf("%s{%s} %g\n", name, strings.Join(labels, ","), value)
}
