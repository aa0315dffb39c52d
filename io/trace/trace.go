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

// Source is a log of JSON lines, each with an optional prefix. It holds the lines of
// the node Name, or those of several nodes, whose names the prefixes give.
type Source struct {
	Name string
	Open func() (io.ReadCloser, error)
}

// Line is a log line with an event number. Fields does not contain the level, time,
// message and event number.
type Line struct {
	Source      string // name of the node
	At          time.Time
	EventNumber int
	Text        string
	Fields      map[string]any
}

// Timeline lists how a request ended and the events that led to it.
type Timeline struct {
	Request     string
	Completions []Line // one for each request logged under this ID; more than one is a fault
	Related     []Line // events of its endpoints, their replicas, its model and its node, by time
}

// ErrNotFound means that no log contains the request.
var ErrNotFound = errors.New("trace: no log contains the request")

const (
	windowBefore = 10 * time.Second // before the request arrived, for events of its endpoints
	windowAfter  = time.Second      // after the request ended
	maxLineBytes = 1 << 20
)

// Find returns the timeline of a request. It reads the logs twice: for the request
// itself, and for the lines within a time window around it.
func Find(request string, sources []Source) (Timeline, error) {
	timeline := Timeline{Request: request}
	err := readSources(sources, func(line Line) {
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
	var inWindow []Line
	err = readSources(sources, func(line Line) {
		if scope.contains(line.At) {
			scope.addReplica(line)
			inWindow = append(inWindow, line)
		}
	})
	for _, line := range inWindow {
		if scope.matches(line) {
			timeline.Related = append(timeline.Related, line)
		}
	}
	slices.SortStableFunc(timeline.Related, func(a, b Line) int { return a.At.Compare(b.At) })
	return timeline, err
}

// scope is the time window and the names by which lines count as related to a
// request.
type scope struct {
	from, to time.Time
	nodes    map[string]bool // nodes that served the request
	names    map[string]bool // of endpoints, their replicas and models
}

// newScope takes the window and the names from the lines that log a request's end.
func newScope(completions []Line) *scope {
	scope := &scope{nodes: map[string]bool{}, names: map[string]bool{}}
	for _, completion := range completions {
		took, _ := completion.Fields["took"].(float64)
		receivedAt := completion.At.Add(-time.Duration(took * float64(time.Millisecond)))
		if scope.from.IsZero() || receivedAt.Add(-windowBefore).Before(scope.from) {
			scope.from = receivedAt.Add(-windowBefore)
		}
		if completion.At.Add(windowAfter).After(scope.to) {
			scope.to = completion.At.Add(windowAfter)
		}
		scope.nodes[completion.Source] = true
		endpoints, _ := completion.Fields["endpoints"].([]any)
		for _, endpoint := range endpoints {
			scope.names[fmt.Sprint(endpoint)] = true
		}
		if model, ok := completion.Fields["model"].(string); ok && model != "" {
			scope.names[model] = true
		}
	}
	return scope
}

// addReplica adds the replica that a line names beside one of the endpoints.
func (scope *scope) addReplica(line Line) {
	replica, _ := line.Fields["replica"].(string)
	endpoint, _ := line.Fields["endpoint"].(string)
	if replica != "" && scope.names[endpoint] {
		scope.names[replica] = true
	}
}

func (scope *scope) contains(at time.Time) bool { return !at.Before(scope.from) && !at.After(scope.to) }

// matches reports whether a line is related to the request: it names one of its
// endpoints, their replicas or its model, or logs an event of the request's node.
// Of other nodes' lines only commands and unresponsive endpoints are related; the
// rest repeats what the request's node logs too.
func (scope *scope) matches(line Line) bool {
	if line.EventNumber == event.RequestEnded.Number {
		return false
	}
	ownNode := scope.nodes[line.Source]
	if ownNode && isNodeEvent(line.EventNumber) {
		return true
	}
	if !ownNode && line.EventNumber != event.CommandAnswered.Number && line.EventNumber != event.EndpointUnresponsive.Number {
		return false
	}
	for _, field := range []string{"endpoint", "replica", "model"} {
		if name, ok := line.Fields[field].(string); ok && scope.names[name] {
			return true
		}
	}
	command, _ := line.Fields["order"].(string)
	return slices.ContainsFunc(strings.Fields(command), func(word string) bool { return scope.names[word] })
}

// isNodeEvent reports whether an event concerns a node, its platform, lease or
// configuration, and not an endpoint or request.
func isNodeEvent(number int) bool {
	return number < event.ReplicaChanged.Number || number == event.CutOffChanged.Number || number >= event.ConfigAccepted.Number && number < event.StreamResumed.Number
}

// readSources calls handle with each event in the logs.
func readSources(sources []Source, handle func(Line)) error {
	for _, source := range sources {
		if err := readSource(source, handle); err != nil {
			return err
		}
	}
	return nil
}

// readSource calls handle with each event in a log.
func readSource(source Source, handle func(Line)) error {
	reader, err := source.Open()
	if err != nil {
		return errors.Wrapf(err, "trace: %s", source.Name)
	}
	defer func() { _ = reader.Close() }()
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if line, ok := parseLine(source.Name, scanner.Bytes()); ok {
			handle(line)
		}
	}
	return errors.Wrapf(scanner.Err(), "trace: %s", source.Name)
}

// parseLine parses a log line; it returns false for one that is not an event. Text
// before the JSON object is a prefix that the log collector added. Its last word is
// the name of the node.
func parseLine(source string, text []byte) (Line, bool) {
	jsonStart := bytes.IndexByte(text, '{')
	if jsonStart < 0 {
		return Line{}, false
	}
	fields := map[string]any{}
	if json.Unmarshal(text[jsonStart:], &fields) != nil {
		return Line{}, false
	}
	number, hasNumber := fields["event"].(float64)
	timestamp, hasTimestamp := fields["ts"].(float64)
	if !hasNumber || !hasTimestamp {
		return Line{}, false
	}
	if prefix := strings.Fields(string(text[:jsonStart])); len(prefix) > 0 {
		source = prefix[len(prefix)-1]
	}
	message, _ := fields["msg"].(string)
	line := Line{Source: source, At: time.UnixMicro(int64(timestamp * 1e6)), EventNumber: int(number), Text: message, Fields: fields}
	for _, name := range []string{"event", "ts", "msg", "level"} {
		delete(fields, name)
	}
	return line, true
}

// String formats the line for display, with its fields sorted by name.
func (line Line) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s %d %s", line.Source, line.EventNumber, line.Text)
	for _, name := range slices.Sorted(maps.Keys(line.Fields)) {
		fmt.Fprintf(&text, ", %s %v", name, line.Fields[name])
	}
	return text.String()
}
