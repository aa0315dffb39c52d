package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"hickorybend/io/event"
)

// Source is one node's log: JSON lines, each perhaps behind a prefix.
type Source struct {
	Name string
	Open func() (io.ReadCloser, error)
}

// Line is a log line that has to do with the request.
type Line struct {
	Source      string
	At          time.Time
	EventNumber int // of the event
	Text        string
	Fields      map[string]any
}

// Timeline is what led to the end of a request.
type Timeline struct {
	Request     string
	Completions []Line // one for each attempt under this id; more than one is a fault
	Related     []Line // what happened to its endpoints, their replicas and its node, in order
}

// ErrNotFound says that no log names the request.
var ErrNotFound = errors.New("trace: no log names the request")

const (
	lookBack = 10 * time.Second // before a request, for what befell its endpoints
	lookOn   = time.Second      // after its end
	maxLine  = 1 << 20
)

// Find reads the logs twice: for the request, and for the lines around it.
func Find(request string, sources []Source) (Timeline, error) {
	timeline := Timeline{Request: request}
	err := read(sources, func(line Line) {
		if line.EventNumber == event.RequestEnded.Number && line.Fields["request"] == request {
			timeline.Completions = append(timeline.Completions, line)
		}
	})
	if err != nil {
		return timeline, err
	}
	if len(timeline.Completions) == 0 {
		return timeline, errors.Wrapf(ErrNotFound, "%s", request)
	}
	scope := newScope(timeline.Completions)
	var near []Line
	err = read(sources, func(line Line) {
		if scope.within(line.At) {
			scope.learn(line)
			near = append(near, line)
		}
	})
	for _, line := range near {
		if scope.touches(line) {
			timeline.Related = append(timeline.Related, line)
		}
	}
	slices.SortStableFunc(timeline.Related, func(a, b Line) int { return a.At.Compare(b.At) })
	return timeline, err
}

// scope is what a line has to name to matter.
type scope struct {
	from, to time.Time
	nodes    map[string]bool
	names    map[string]bool // of endpoints, their replicas and models
}

func newScope(ends []Line) *scope {
	scope := &scope{nodes: map[string]bool{}, names: map[string]bool{}}
	for _, end := range ends {
		took, _ := end.Fields["took"].(float64)
		came := end.At.Add(-time.Duration(took * float64(time.Millisecond)))
		if scope.from.IsZero() || came.Add(-lookBack).Before(scope.from) {
			scope.from = came.Add(-lookBack)
		}
		if end.At.Add(lookOn).After(scope.to) {
			scope.to = end.At.Add(lookOn)
		}
		scope.nodes[end.Source] = true
		endpoints, _ := end.Fields["endpoints"].([]any)
		for _, endpoint := range endpoints {
			scope.names[fmt.Sprint(endpoint)] = true
		}
		if model, ok := end.Fields["model"].(string); ok && model != "" {
			scope.names[model] = true
		}
	}
	return scope
}

// learn adds the replicas that the request's endpoints belonged to.
func (scope *scope) learn(line Line) {
	replica, _ := line.Fields["replica"].(string)
	endpoint, _ := line.Fields["endpoint"].(string)
	if replica != "" && scope.names[endpoint] {
		scope.names[replica] = true
	}
}

func (scope *scope) within(at time.Time) bool { return !at.Before(scope.from) && !at.After(scope.to) }

// touches tells whether a line has to do with the request: it names one of its
// endpoints, replicas or its model, or is of its node itself. Of other nodes
// only what they did counts, not how they saw what this one saw too.
func (scope *scope) touches(line Line) bool {
	if line.EventNumber == event.RequestEnded.Number {
		return false
	}
	own := scope.nodes[line.Source]
	if own && ofNode(line.EventNumber) {
		return true
	}
	if !own && line.EventNumber != event.CommandAnswered.Number && line.EventNumber != event.EndpointUnresponsive.Number {
		return false
	}
	for _, field := range []string{"endpoint", "replica", "model"} {
		if name, ok := line.Fields[field].(string); ok && scope.names[name] {
			return true
		}
	}
	order, _ := line.Fields["order"].(string)
	return slices.ContainsFunc(strings.Fields(order), func(word string) bool { return scope.names[word] })
}

// ofNode tells whether an event is of a node, its platform, lease or
// configuration rather than of an endpoint.
func ofNode(number int) bool {
	return number < event.ReplicaChanged.Number || number >= event.ConfigAccepted.Number && number < event.StreamResumed.Number
}

func read(sources []Source, take func(Line)) error {
	for _, source := range sources {
		if err := readOne(source, take); err != nil {
			return err
		}
	}
	return nil
}

func readOne(source Source, take func(Line)) error {
	reader, err := source.Open()
	if err != nil {
		return errors.Wrapf(err, "trace: %s", source.Name)
	}
	defer func() { _ = reader.Close() }()
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		if line, ok := parse(source.Name, scanner.Bytes()); ok {
			take(line)
		}
	}
	return errors.Wrapf(scanner.Err(), "trace: %s", source.Name)
}

// parse reads a line; one that is no event is passed over. What stands before
// the JSON text is the prefix of whoever gathered the logs, whose last word
// names the node.
func parse(source string, text []byte) (Line, bool) {
	begin := bytes.IndexByte(text, '{')
	if begin < 0 {
		return Line{}, false
	}
	fields := map[string]any{}
	if json.Unmarshal(text[begin:], &fields) != nil {
		return Line{}, false
	}
	number, numbered := fields["event"].(float64)
	stamp, stamped := fields["ts"].(float64)
	if !numbered || !stamped {
		return Line{}, false
	}
	if prefix := strings.Fields(string(text[:begin])); len(prefix) > 0 {
		source = prefix[len(prefix)-1]
	}
	message, _ := fields["msg"].(string)
	line := Line{Source: source, At: time.UnixMicro(int64(stamp * 1e6)), EventNumber: int(number), Text: message, Fields: fields}
	for _, name := range []string{"event", "ts", "msg", "level"} {
		delete(fields, name)
	}
	return line, true
}

// String gives the line as it is shown, with its fields in the order of their
// names.
func (line Line) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s %d %s", line.Source, line.EventNumber, line.Text)
	for _, name := range slices.Sorted(maps.Keys(line.Fields)) {
		fmt.Fprintf(&text, ", %s %v", name, line.Fields[name])
	}
	return text.String()
}
