package logbuf

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	mostLines = 4096                  // lines that wait for the writer
	flushTime = 50 * time.Millisecond // lines that come within this are written together
	mostBatch = 64 << 10              // bytes of one write
)

// Writer is a zap sink over a bounded buffer.
type Writer struct {
	lines   chan []byte
	out     io.Writer
	dropped atomic.Int64
	closing chan struct{}
	once    sync.Once
	done    chan struct{}
}

// New makes a writer and starts its goroutine.
func New(out io.Writer) *Writer {
	writer := &Writer{lines: make(chan []byte, mostLines), out: out, closing: make(chan struct{}), done: make(chan struct{})}
	go writer.run()
	return writer
}

// Write takes a line, or drops it where the buffer is full.
func (writer *Writer) Write(line []byte) (int, error) {
	select {
	case writer.lines <- append([]byte(nil), line...):
	default:
		writer.dropped.Add(1)
	}
	return len(line), nil
}

// Sync does nothing: the writer's goroutine writes soon by itself.
func (writer *Writer) Sync() error { return nil }

// Dropped counts the lines dropped and not yet told.
func (writer *Writer) Dropped() int64 { return writer.dropped.Load() }

// Close writes what waits, for as long as limit.
func (writer *Writer) Close(limit time.Duration) {
	writer.once.Do(func() { close(writer.closing) })
	timer := time.NewTimer(limit)
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
			case <-time.After(flushTime):
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

// writeBatch writes a line and those that wait behind it. There is nowhere to
// report a failed write: the log is what failed.
func (writer *Writer) writeBatch(first []byte) {
	batch := first
	for len(batch) < mostBatch {
		select {
		case line := <-writer.lines:
			batch = append(batch, line...)
			continue
		default:
		}
		break
	}
	if dropped := writer.dropped.Swap(0); dropped > 0 {
		batch = append(batch, fmt.Sprintf("{\"level\":\"warn\",\"msg\":\"log lines dropped\",\"event\":105,\"lines\":%d}\n", dropped)...)
	}
	_, _ = writer.out.Write(batch)
}
