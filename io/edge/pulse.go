package edge

import (
	"context"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"hickorybend/core/delay"
)

// The control loop's ticks do not show how late a node reads answers. Go's scheduler runs what a
// timer wakes at once, and what the network wakes after all that was ready before: on a processor
// that 400 connections keep busy, ticks are on time, and answers wait for half a second. So a
// node also sends itself a byte through a pipe each tickInterval, which is read as answers are.

// lateness is how late this node runs.
type lateness struct {
	ticks *delay.Tracker // the control loop's periodic work
	reads *delay.Tracker // of the bytes that the node sends itself
}

func newLateness() lateness {
	policy := delay.Policy{Interval: tickInterval, Tolerance: tickTolerance}
	return lateness{ticks: delay.NewTracker(policy), reads: delay.NewTracker(policy)}
}

// lateBy returns by how much the node was late at most since a time.
func (lateness lateness) lateBy(since, now time.Time) time.Duration {
	return max(lateness.ticks.LateBy(since, now), lateness.reads.LateBy(since, now))
}

// lateSince reports whether the node was late at any time since a time.
func (lateness lateness) lateSince(since, now time.Time) bool {
	return lateness.ticks.LateSince(since, now) || lateness.reads.LateSince(since, now)
}

// startPulse sends bytes through a pipe and records when they are read, until the context ends.
func (lateness lateness) startPulse(ctx context.Context) error {
	reader, writer, err := os.Pipe()
	if err != nil {
		return errors.Wrap(err, "edge: opening a pipe")
	}
	context.AfterFunc(ctx, func() {
		_ = writer.Close()
		_ = reader.Close()
	})
	go func() {
		for ctx.Err() == nil {
			if _, err := writer.Write([]byte{0}); err != nil {
				return // the context has ended
			}
			sleep(ctx, tickInterval)
		}
	}()
	go func() {
		buffer := make([]byte, 64)
		for {
			if _, err := reader.Read(buffer); err != nil {
				return
			}
			lateness.reads.Tick(time.Now())
		}
	}()
	return nil
}
