package logbuf_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hickorybend/io/logbuf"
)

// pipe is a sink whose writes block until it is opened.
type pipe struct {
	open  chan struct{}
	mutex sync.Mutex
	bytes.Buffer
}

func (pipe *pipe) Write(line []byte) (int, error) {
	<-pipe.open
	pipe.mutex.Lock()
	defer pipe.mutex.Unlock()
	return pipe.Buffer.Write(line)
}

// TestFullBufferDropsLines guards against logging that blocks while the reader of
// the output has stopped: lines must be dropped, and their number logged once it
// reads again.
func TestFullBufferDropsLines(t *testing.T) {
	pipe := &pipe{open: make(chan struct{})}
	writer := logbuf.New(pipe)
	const lines = 20000
	startedAt := time.Now()
	for i := range lines {
		_, err := fmt.Fprintf(writer, "line %d\n", i)
		assert.NilError(t, err)
	}
	assert.Assert(t, time.Since(startedAt) < 5*time.Second)
	expectEveryLineCounted(t, pipe, writer, lines)
}

// TestLinesDroppedBeforeABatchAreCounted guards against a test that counts only the
// drops that are not logged yet: the batch whose write blocks has its own count of
// dropped lines, as when the buffer is full before the goroutine runs.
func TestLinesDroppedBeforeABatchAreCounted(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1)) // the goroutine runs only once this one yields
	pipe := &pipe{open: make(chan struct{})}
	writer := logbuf.New(pipe)
	const lines = 12000
	for range 2 {
		for i := range lines / 2 {
			_, _ = fmt.Fprintf(writer, "line %d\n", i)
		}
		time.Sleep(10 * time.Millisecond) // the goroutine takes the buffer and blocks
	}
	expectEveryLineCounted(t, pipe, writer, lines)
}

// expectEveryLineCounted opens the pipe and checks that each line was written, or
// counted in a log line about dropped ones.
func expectEveryLineCounted(t *testing.T, pipe *pipe, writer *logbuf.Writer, lines int) {
	t.Helper()
	assert.Assert(t, writer.Dropped() > 0)
	close(pipe.open)
	writer.Close(10 * time.Second)
	assert.Equal(t, writer.Dropped(), int64(0))
	pipe.mutex.Lock()
	defer pipe.mutex.Unlock()
	written, dropped := 0, 0
	for _, line := range strings.Split(strings.TrimSpace(pipe.String()), "\n") {
		var event struct{ Lines int }
		switch {
		case strings.HasPrefix(line, "line "):
			written++
		default:
			assert.NilError(t, json.Unmarshal([]byte(line), &event))
			assert.Assert(t, event.Lines > 0 && strings.Contains(line, "log lines dropped"))
			dropped += event.Lines
		}
	}
	assert.Assert(t, dropped > 0)
	assert.Equal(t, written+dropped, lines)
}

// TestCloseIsBounded guards against a Close that waits without limit for output that
// is no longer read.
func TestCloseIsBounded(t *testing.T) {
	writer := logbuf.New(&pipe{open: make(chan struct{})})
	_, _ = writer.Write([]byte("x\n"))
	startedAt := time.Now()
	writer.Close(50 * time.Millisecond)
	assert.Assert(t, time.Since(startedAt) < 5*time.Second)
}
