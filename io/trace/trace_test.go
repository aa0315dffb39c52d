package trace_test

import (
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"hickorybend/io/trace"
)

const nodeLog = `{"ts":100.0,"event":409,"msg":"endpoint changed","endpoint":"i-1","replica":"large.a","phase":"open"}
not a log line
{"ts":101.0,"event":409,"msg":"endpoint changed","endpoint":"i-9","replica":"small.b","phase":"open"}
{"ts":102.0,"event":201,"msg":"table service does not answer","table":"op"}
{"ts":103.2,"event":411,"msg":"endpoint answers nothing","endpoint":"i-2","replica":"large.a"}
{"ts":104.0,"event":606,"msg":"request ended","request":"r-1","took":1000,"status":200,"endpoints":["i-1","i-3"],"model":"large"}
{"ts":104.1,"event":606,"msg":"request ended","request":"r-2","took":1000,"status":200,"endpoints":["i-1"],"model":"large"}
{"ts":190.0,"event":411,"msg":"endpoint answers nothing","endpoint":"i-1","replica":"large.a"}
`

const holderLog = `103.5 node-2 {"ts":103.5,"event":412,"msg":"order answered","endpoint":"i-2","order":"leave large.a epoch 7","reply":"begun"}
103.55 node-2 {"ts":103.55,"event":413,"msg":"replicas that serve","model":"large","replicas":3}
103.6 node-2 {"ts":103.6,"event":412,"msg":"order answered","endpoint":"i-9","order":"leave small.b epoch 8","reply":"begun"}
103.7 node-2 {"ts":103.7,"event":201,"msg":"table service does not answer","table":"op"}
`

func logs() []trace.Source {
	source := func(name, text string) trace.Source {
		return trace.Source{Name: name, Open: func() (io.ReadCloser, error) { return io.NopCloser(strings.NewReader(text)), nil }}
	}
	return []trace.Source{source("node-1", nodeLog), source("all", holderLog)}
}

// TestFind guards against a timeline with missing or unrelated lines: it has the
// events of the request's endpoints, of their replicas and of its node, but none of
// other endpoints, none long after its end, and other nodes' commands only if they
// concern its endpoints or replicas.
func TestFind(t *testing.T) {
	timeline, err := trace.Find("r-1", logs())
	assert.NilError(t, err)
	assert.Equal(t, len(timeline.Completions), 1)
	var shown []string
	for _, line := range timeline.Related {
		shown = append(shown, line.String())
	}
	assert.DeepEqual(t, shown, []string{
		"node-1 409 endpoint changed, endpoint i-1, phase open, replica large.a",
		"node-1 201 table service does not answer, table op",
		"node-1 411 endpoint answers nothing, endpoint i-2, replica large.a",
		"node-2 412 order answered, endpoint i-2, order leave large.a epoch 7, reply begun",
	})
}

// TestFindUnknown looks for a request that no log contains.
func TestFindUnknown(t *testing.T) {
	_, err := trace.Find("r-9", logs())
	assert.ErrorIs(t, err, trace.ErrNotFound)
}
