package edge

import (
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"hickorybend/io/event"
)

// sleptLeast is the least difference between the two clocks that counts as a
// sleep of the host.
const sleptLeast = 200 * time.Millisecond

func (control *Control) start(now time.Time) {
	control.started = now
	if ahead, err := control.suspended(0); err == nil {
		control.slept = ahead
	}
}

// wake notices that the host was suspended: the steady clock did not count that
// time, so a lease that seems to hold may long be another node's, and what was
// believed fresh is not.
func (control *Control) wake(now time.Time) {
	ahead, err := control.suspended(now.Sub(control.started))
	if err != nil {
		return // a host without that clock is not suspended
	}
	slept := ahead - control.slept
	control.slept = ahead
	if slept < sleptLeast {
		return
	}
	event.Log(control.log, event.HostSuspended, zap.Duration("slept", slept))
	control.placement.claim.Invalidate()
	control.placement.mayGoOn = false
}

// suspended tells how far the clock that counts suspensions is ahead of the
// steady time since the start.
func suspended(steady time.Duration) (time.Duration, error) {
	var boot unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot); err != nil {
		return 0, err
	}
	return time.Duration(boot.Nano()) - steady, nil
}
