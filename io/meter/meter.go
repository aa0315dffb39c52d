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

// Meter holds the counters, gauges and histograms of a node.
type Meter struct {
	registry metrics.Registry
	mutex    sync.Mutex
	labels   map[string]bool // seen so far, at most maxLabels
}

const (
	maxLabels      = 256 // further labels count as otherLabel
	otherLabel     = "other"
	reservoirSize  = 512   // samples kept for each histogram
	reservoirAlpha = 0.015 // decay rate of the samples; recent ones weigh more
	keySeparator   = "|"   // between name and label in the registry's keys
	microsecond    = float64(time.Microsecond)
)

// Latencies are the histograms for one label.
type Latencies struct {
	FirstToken metrics.Histogram
	InterToken metrics.Histogram
	Total      metrics.Histogram
}

// New creates an empty meter.
func New() *Meter {
	return &Meter{registry: metrics.NewRegistry(), labels: map[string]bool{}}
}

// Count increments a counter.
func (meter *Meter) Count(name, label string) {
	meter.counter(name, label).Inc(1)
}

func (meter *Meter) counter(name, label string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name+keySeparator+meter.boundedLabel(label), meter.registry)
}

// Gauge sets a gauge.
func (meter *Meter) Gauge(name string, value float64) {
	metrics.GetOrRegisterGaugeFloat64(name+keySeparator, meter.registry).Update(value)
}

// LabeledGauge sets the gauge of a label, such as a service.
func (meter *Meter) LabeledGauge(name, label string, value float64) {
	metrics.GetOrRegisterGaugeFloat64(name+keySeparator+meter.boundedLabel(label), meter.registry).Update(value)
}

// Latencies returns the histograms for a label, such as a team or a route.
func (meter *Meter) Latencies(label string) Latencies {
	return Latencies{
		FirstToken: meter.histogram("first_token_us", label),
		InterToken: meter.histogram("between_tokens_us", label),
		Total:      meter.histogram("whole_answer_us", label),
	}
}

// Losses are the histograms for a label of where late requests lost their time.
type Losses struct {
	BeforeSending metrics.Histogram // until they were sent to the endpoint
	FirstEvent    metrics.Histogram // from then on until the first event
	Pause         metrics.Histogram // the longest pause between two events
}

// Losses returns the histograms for a label, such as a route with a model.
func (meter *Meter) Losses(label string) Losses {
	return Losses{
		BeforeSending: meter.histogram("late_before_sending_us", label),
		FirstEvent:    meter.histogram("late_first_event_us", label),
		Pause:         meter.histogram("late_pause_us", label),
	}
}

// Observe adds a duration to a histogram of microseconds.
func Observe(histogram metrics.Histogram, took time.Duration) {
	histogram.Update(int64(float64(took) / microsecond))
}

func (meter *Meter) histogram(name, label string) metrics.Histogram {
	key := name + keySeparator + meter.boundedLabel(label)
	return meter.registry.GetOrRegister(key, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(reservoirSize, reservoirAlpha))
	}).(metrics.Histogram)
}

// boundedLabel returns the label, or otherLabel for a new one once there are
// maxLabels, so that the number of metrics stays limited whatever callers send.
func (meter *Meter) boundedLabel(label string) string {
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

// WriteText writes all metrics in the Prometheus text format, sorted.
func (meter *Meter) WriteText(w io.Writer) {
	var lines []string
	meter.registry.Each(func(key string, metric any) {
		lines = append(lines, formatMetric(key, metric)...)
	})
	sort.Strings(lines)
	_, _ = io.WriteString(w, strings.Join(lines, ""))
}

// formatMetric returns a metric's lines. Those of a histogram are three quantiles
// and its count.
func formatMetric(key string, metric any) []string {
	name, label, _ := strings.Cut(key, keySeparator)
	name = "hickorybend_" + name
	switch typed := metric.(type) {
	case metrics.Counter:
		return []string{formatLine(name+"_total", label, "", float64(typed.Count()))}
	case metrics.GaugeFloat64:
		return []string{formatLine(name, label, "", typed.Value())}
	case metrics.Histogram:
		snapshot := typed.Snapshot()
		return []string{
			formatLine(name, label, "0.5", snapshot.Percentile(0.5)),
			formatLine(name, label, "0.95", snapshot.Percentile(0.95)),
			formatLine(name, label, "0.99", snapshot.Percentile(0.99)),
			formatLine(name+"_count", label, "", float64(snapshot.Count())),
		}
	default:
		return nil
	}
}

func formatLine(name, label, quantile string, value float64) string {
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
