package logbuf_test

import (
	"bytes"
	"fmt"
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
	dropped := writer.Dropped()
	assert.Assert(t, dropped > 0)
	close(pipe.open)
	writer.Close(10 * time.Second)
	pipe.mutex.Lock()
	defer pipe.mutex.Unlock()
	text := pipe.String()
	assert.Assert(t, strings.Contains(text, "log lines dropped"))
	assert.Equal(t, int64(strings.Count(text, "line ")), lines-dropped)
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
