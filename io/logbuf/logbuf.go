package logbuf

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	maxQueuedLines = 4096                  // lines in the buffer
	flushInterval  = 50 * time.Millisecond // pause between writes; lines that arrive meanwhile are written together
	maxBatchBytes  = 64 << 10              // a write ends with the line that reaches it
)

// Writer is a zap sink over a bounded buffer.
type Writer struct {
	lines   chan []byte
	out     io.Writer
	dropped atomic.Int64
	closing chan struct{} // closed by Close
	once    sync.Once
	done    chan struct{} // closed when the goroutine ends
}

// New creates a writer and starts its goroutine.
func New(out io.Writer) *Writer {
	writer := &Writer{lines: make(chan []byte, maxQueuedLines), out: out, closing: make(chan struct{}), done: make(chan struct{})}
	go writer.run()
	return writer
}

// Write buffers a line, or drops it if the buffer is full. It never blocks.
func (writer *Writer) Write(line []byte) (int, error) {
	select {
	case writer.lines <- append([]byte(nil), line...):
	default:
		writer.dropped.Add(1)
	}
	return len(line), nil
}

// Sync does nothing: the writer's goroutine flushes at short intervals.
func (writer *Writer) Sync() error { return nil }

// Dropped returns the number of dropped lines that have not been logged yet.
func (writer *Writer) Dropped() int64 { return writer.dropped.Load() }

// Close writes the buffered lines and stops the goroutine. It returns after the
// timeout at the latest.
func (writer *Writer) Close(timeout time.Duration) {
	writer.once.Do(func() { close(writer.closing) })
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-writer.done:
	case <-timer.C:
	}
}

func (writer *Writer) run() {
	defer close(writer.done)
	for {
		select {
		case line := <-writer.lines:
			writer.writeBatch(line)
			select {
			case <-time.After(flushInterval):
			case <-writer.closing:
			}
		case <-writer.closing:
			writer.drain()
			return
		}
	}
}

func (writer *Writer) drain() {
	for {
		select {
		case line := <-writer.lines:
			writer.writeBatch(line)
		default:
			return
		}
	}
}

// writeBatch writes a line together with the ones behind it in the buffer. It
// ignores errors, since the log itself is what failed.
func (writer *Writer) writeBatch(first []byte) {
	batch := first
	for len(batch) < maxBatchBytes {
		select {
		case line := <-writer.lines:
			batch = append(batch, line...)
			continue
		default:
		}
		break
	}
	if dropped := writer.dropped.Swap(0); dropped > 0 { // event.LogLinesDropped, written here since the logger writes to this writer
		batch = append(batch, fmt.Sprintf("{\"level\":\"warn\",\"msg\":\"log lines dropped\",\"event\":105,\"lines\":%d}\n", dropped)...)
	}
	_, _ = writer.out.Write(batch)
}
