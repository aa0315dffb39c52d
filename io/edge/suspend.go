package edge

import (
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"hickorybend/io/event"
)

// minSuspension is the smallest difference between the two clocks that counts as
// a suspension of the host.
const minSuspension = 200 * time.Millisecond

// initClock records the start time and the clock offset that suspensions are
// measured from.
func (control *Control) initClock(now time.Time) {
	control.startedAt = now
	if offset, err := control.bootClockOffset(0); err == nil {
		control.lastClockOffset = offset
	}
}

// checkSuspension detects that the host was suspended. The monotonic clock does
// not count that time, so another node may have acquired a lease that still
// seems held here, and knowledge that seems fresh is old.
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
}

// bootClockOffset gives how far CLOCK_BOOTTIME, which counts suspensions, is
// ahead of the monotonic time since the start. It grows by each suspension.
func bootClockOffset(monotonic time.Duration) (time.Duration, error) {
	var boot unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot); err != nil {
		return 0, err
	}
	return time.Duration(boot.Nano()) - monotonic, nil
}
