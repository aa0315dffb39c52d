package node

import (
	"context"
	"time"

	"github.com/google/uuid"

	"hickorybend/core/config"
	"hickorybend/io/peers"
)

// doubtLimit is how long a change may stay without an outcome before a node
// makes sure that it can no longer be accepted.
const doubtLimit = 10 * time.Second

func (control *Control) takeWarning(warned warned, now time.Time) {
	if warned.warning.Abort {
		control.held.Abort(warned.warning.ID)
	} else {
		control.held.Prepare(warned.warning.ID, warned.warning.Version, now)
	}
	control.publishNow(now)
	close(warned.done)
}

// voidLongDoubt takes the place of a change whose node died before it could
// say what became of it. If the change was accepted after all, the head has
// moved and this does nothing.
func (control *Control) voidLongDoubt(now time.Time) {
	version := control.held.InDoubtBefore(now.Add(-doubtLimit))
	if version == 0 || control.voiding || !control.held.Fresh(now) || control.held.Head()+1 != version {
		return
	}
	control.voiding = true
	control.effect(func(ctx context.Context) message {
		control.void(ctx, version, now)
		return voided{}
	})
}

func (control *Control) void(ctx context.Context, version int64, now time.Time) {
	head, err := control.outside.Store.Get(ctx, config.HeadKey())
	if err != nil || head.Version+1 != version {
		return
	}
	row, err := control.outside.Store.Get(ctx, config.HistoryKey(head.Version))
	if err != nil {
		return
	}
	entry, err := config.ReadEntry(row)
	if err != nil {
		return
	}
	txn, err := config.AcceptNoop(head, entry, now.UTC(), uuid.NewString())
	if err != nil {
		return
	}
	control.outside.Store.Commit(ctx, txn)
}

// voided says that an attempt to take a change's place has ended.
type voided struct{}

func (voided) message() {}

// Notify takes in a warning and returns once control has noted it.
func (local local) Notify(ctx context.Context, changenotice peers.ChangeNotice) error {
	done := make(chan struct{})
	local.control.tell(warned{warning: changenotice, done: done})
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
