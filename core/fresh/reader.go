package fresh

import "time"

// Reader decides when a node reads a table because its copy has become too old,
// whatever other nodes or a pending long poll should have delivered. The zero
// value is ready for use.
type Reader struct {
	Pending  bool // a read is pending
	failures int  // reads that have failed since the last confirmation
	retryAt  time.Time
}

// Due reports whether to start a read.
func (reader *Reader) Due(policy Policy, watermark Watermark, now time.Time) bool {
	age := watermark.Age(now)
	if age < policy.ReadAfter {
		reader.failures, reader.retryAt = 0, time.Time{}
	}
	return !reader.Pending && age >= policy.ReadAfter && !now.Before(reader.retryAt)
}

// Timeout returns the timeout of the next read. It grows with each failure, so that
// a store that is slow, but answers, is read in the end.
func (reader *Reader) Timeout(policy Policy) time.Duration {
	return doubled(policy.ReadTimeout, policy.MaxReadTimeout, reader.failures)
}

// Fail records that the pending read has failed. random in [0,1) spreads the
// retries of nodes whose reads fail together.
func (reader *Reader) Fail(policy Policy, now time.Time, random float64) {
	delay := doubled(policy.RetryDelay, policy.MaxRetryDelay, reader.failures)
	reader.Pending = false
	reader.failures++
	reader.retryAt = now.Add(delay/2 + time.Duration(random*float64(delay/2)))
}

// Finish records that the pending read has been answered.
func (reader *Reader) Finish() { reader.Pending = false }

// doubled returns a duration doubled a number of times, but at most the limit.
func doubled(duration, limit time.Duration, times int) time.Duration {
	for range times {
		if duration >= limit {
			break
		}
		duration *= 2
	}
	return min(duration, limit)
}
