package node

import (
	"context"
	"time"

	"github.com/google/uuid"

	"hickorybend/core/config"
	"hickorybend/io/peers"
)

// inDoubtTimeout is how long a change may stay in doubt before a node makes sure
// that it can no longer be accepted.
const inDoubtTimeout = 10 * time.Second

// handleNotice records a prepared or aborted change. It publishes before it
// acknowledges the notice, so that the status that this node reports to others covers
// the change by then.
func (control *Control) handleNotice(received noticeReceived, now time.Time) {
	if received.notice.Abort {
		control.configCache.Abort(received.notice.ID)
	} else {
		control.configCache.Prepare(received.notice.ID, received.notice.Version, now)
	}
	control.publishNow(now)
	close(received.done)
}

// resolveInDoubt resolves a change that stays in doubt because the node that was to
// commit it failed before it reported the outcome. It commits a no-op change as the
// same version, so that the change in doubt can no longer be accepted. If that change
// was accepted after all, the head has moved and nothing is written.
func (control *Control) resolveInDoubt(now time.Time) {
	version := control.configCache.InDoubtBefore(now.Add(-inDoubtTimeout))
	if version == 0 || control.noopRunning || !control.configCache.Fresh(now) || control.configCache.Head()+1 != version {
		return
	}
	control.noopRunning = true
	control.runInBackground(func(ctx context.Context) message {
		control.acceptNoop(ctx, version, now)
		return noopResult{}
	})
}

// acceptNoop commits a no-op change as the given version, if that is the next version.
// It is called again if it fails and the change stays in doubt.
func (control *Control) acceptNoop(ctx context.Context, version int64, now time.Time) {
	head, err := control.dependencies.Store.Get(ctx, config.HeadKey())
	if err != nil || int64(head.Version)+1 != version {
		return
	}
	row, err := control.dependencies.Store.Get(ctx, config.HistoryKey(int64(head.Version)))
	if err != nil {
		return
	}
	historyentry, err := config.DecodeHistoryEntry(row)
	if err != nil {
		return
	}
	txn, err := config.AcceptNoop(head, historyentry, now.UTC(), uuid.NewString())
	if err != nil {
		return
	}
	control.dependencies.Store.Commit(ctx, txn)
}

// noopResult reports that acceptNoop has ended, whatever the outcome.
type noopResult struct{}

func (noopResult) message() {}

// Notify passes a notice to control and returns once control has recorded it.
func (local local) Notify(ctx context.Context, changenotice peers.ChangeNotice) error {
	handled := make(chan struct{})
	local.control.enqueue(noticeReceived{notice: changenotice, done: handled})
	select {
	case <-handled:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
