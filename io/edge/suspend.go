package edge

import (
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"hickorybend/io/event"
)

// minSuspension is how much bootClockOffset must grow to count as a suspension of
// the host.
const minSuspension = 200 * time.Millisecond

// initClock records the start time and the clock offset that suspensions are
// measured from.
func (control *Control) initClock(now time.Time) {
	control.startedAt = now
	if offset, err := control.bootClockOffset(0); err == nil {
		control.lastClockOffset = offset
	}
}

// checkSuspension detects that the host was suspended, and then gives up the
// lease and counts the time towards the age of the copies. The monotonic clock does not count the time of a suspension, so another
// node may have acquired a lease that still seems held here, and state that seems
// fresh is stale.
func (control *Control) checkSuspension(now time.Time) {
	offset, err := control.bootClockOffset(now.Sub(control.startedAt))
	if err != nil {
		return // a host without CLOCK_BOOTTIME counts as never suspended
	}
	suspended := offset - control.lastClockOffset
	control.lastClockOffset = offset
	if suspended < minSuspension {
		return
	}
	event.Log(control.log, event.HostSuspended, zap.Duration("slept", suspended))
	control.placement.claim.Invalidate()
	control.placement.isLatestHolder = false
	control.copies.suspend(suspended)
	control.peers.members.Suspend()
}

// bootClockOffset returns how far CLOCK_BOOTTIME, which counts suspensions, is
// ahead of the monotonic time since the node's start. The offset grows by each
// suspension.
func bootClockOffset(monotonic time.Duration) (time.Duration, error) {
	var boot unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot); err != nil {
		return 0, err
	}
	return time.Duration(boot.Nano()) - monotonic, nil
}
