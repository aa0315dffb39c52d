package admin

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"go.uber.org/zap"

	"hickorybend/core/config"
	"hickorybend/core/intent"
	"hickorybend/core/jsonc"
	"hickorybend/core/rows"
	"hickorybend/io/event"
	"hickorybend/io/table"
)

// ErrMissingBase means that a change gives no base version although a
// configuration is in force.
var ErrMissingBase = errors.New("admin: a configuration is already in force; give the version that the change is based on")

// ErrUnknownVersion means that the history has no such version.
var ErrUnknownVersion = errors.New("admin: no such version")

// ErrBusy means that a change is not confirmed as committed: other changes kept
// committing first, or the outcome is unknown. Repeating the request is safe.
var ErrBusy = errors.New("admin: the change is not confirmed as committed; try again")

const maxApplyAttempts = 8

// Apply puts an operator's spec in force as a change of the version base, from which
// the operator started. It retries when a change of other sections was committed
// first.
func (service *Service) Apply(ctx context.Context, spec *intent.Spec, base int64, operator string) (ApplyResult, error) {
	baseSections, err := service.sectionsAt(ctx, base)
	if err != nil {
		return ApplyResult{}, err
	}
	for range maxApplyAttempts {
		applyresult, retry, err := service.attemptApply(ctx, spec, base, baseSections, operator)
		if err != nil || !retry {
			return applyresult, err
		}
	}
	return ApplyResult{}, ErrBusy
}

// attemptApply merges and commits a change once. The second result reports whether the
// attempt may be repeated because another change was committed first.
//
// All nodes are notified before the commit. So if the table service fails right after
// the commit, each node has a record that a newer configuration may be in force. The
// change is aborted if a node with a recent heartbeat does not acknowledge the notice.
func (service *Service) attemptApply(ctx context.Context, spec *intent.Spec, base int64, baseSections []intent.Section, operator string) (ApplyResult, bool, error) {
	stored, err := service.store.List(ctx, config.Partition)
	if err != nil {
		return ApplyResult{}, false, err
	}
	head := headOf(stored)
	inForce := int64(head.Version)
	if base == 0 && inForce > 0 {
		return ApplyResult{}, false, errors.Wrapf(ErrMissingBase, "version %d is in force", inForce)
	}
	if base > inForce {
		return ApplyResult{}, false, errors.Wrapf(ErrUnknownVersion, "version %d", base)
	}
	plan, conflicts := config.Merge(baseSections, config.SectionsOf(stored), spec.Sections())
	if len(conflicts) > 0 {
		event.Log(service.log, event.ConfigConflict, zap.String("operator", operator), zap.Int64("base", base), zap.Int64("head", inForce))
		return ApplyResult{Head: inForce, Conflicts: conflictsOf(conflicts)}, false, nil
	}
	if len(plan.Changes) == 0 {
		return ApplyResult{Head: inForce, Unchanged: true}, false, nil
	}
	object, err := service.storeMerged(ctx, plan)
	if err != nil {
		return ApplyResult{}, false, err
	}
	historyentry := config.HistoryEntry{Operator: operator, At: time.Now().UTC(), Object: object}
	txn, err := config.Accept(plan, head, stored, historyentry, uuid.NewString())
	if err != nil {
		return ApplyResult{}, false, err
	}
	if noticeUnacknowledged := service.node.Notify(ctx, txn.WriteID, nextVersion(head), false); len(noticeUnacknowledged) > 0 {
		service.node.Notify(ctx, txn.WriteID, nextVersion(head), true)
		event.Log(service.log, event.PeerNotNotified, zap.Strings("nodes", noticeUnacknowledged))
		return ApplyResult{Head: inForce, NoticeUnacknowledged: noticeUnacknowledged}, false, nil
	}
	return service.commit(ctx, txn, plan, nextVersion(head))
}

// nextVersion returns the version that the next change of a head gets.
func nextVersion(head rows.Row) int64 { return int64(head.Version) + 1 }

// storeMerged checks the complete text that the change would put in force and
// stores it as an object. It returns the object's name.
func (service *Service) storeMerged(ctx context.Context, plan config.Plan) (string, error) {
	merged, err := intent.Join(plan.Sections)
	if err != nil {
		return "", err
	}
	body := jsonc.Indent(merged)
	if _, err := intent.Parse("merged", body); err != nil {
		return "", err
	}
	return service.objects.Put(ctx, body)
}

// commit commits a change that all nodes were notified of, and sends them the changed
// rows. After a rejection it notifies them that the change is aborted; after an unknown
// outcome it does not, since the change may be in force.
func (service *Service) commit(ctx context.Context, txn rows.Txn, plan config.Plan, version int64) (ApplyResult, bool, error) {
	switch table.CommitAndResolve(ctx, service.store, txn).(type) {
	case rows.Committed:
		applyresult := ApplyResult{Head: version}
		for _, change := range plan.Changes {
			applyresult.Sections = append(applyresult.Sections, change.Name)
		}
		applyresult.Acknowledged, applyresult.Unacknowledged = service.node.Broadcast(ctx, committedRows(txn))
		event.Log(service.log, event.ConfigAccepted, zap.Int64("head", version), zap.Strings("sections", applyresult.Sections))
		return applyresult, false, nil
	case rows.Rejected:
		service.node.Notify(ctx, txn.WriteID, version, true)
		return ApplyResult{}, true, nil
	default:
		return ApplyResult{Head: version, Unknown: true}, false, nil
	}
}

// committedRows returns the configuration rows as a committed transaction leaves them.
func committedRows(txn rows.Txn) []rows.Row {
	var changed []rows.Row
	for _, op := range txn.Ops {
		if put, isPut := op.(rows.Put); isPut && put.Key.Partition == config.Partition {
			changed = append(changed, rows.Apply(put, txn.WriteID))
		}
	}
	return changed
}

// sectionsAt reads the sections as of a version; version 0 has none.
func (service *Service) sectionsAt(ctx context.Context, version int64) ([]intent.Section, error) {
	if version == 0 {
		return nil, nil
	}
	body, _, err := service.textAt(ctx, version)
	if err != nil {
		return nil, err
	}
	spec, err := intent.Parse("base", body)
	if err != nil {
		return nil, err
	}
	return spec.Sections(), nil
}

// textAt reads the complete text as of a version, and the version's entry in the
// history.
func (service *Service) textAt(ctx context.Context, version int64) ([]byte, config.HistoryEntry, error) {
	row, err := service.store.Get(ctx, config.HistoryKey(version))
	if errors.Is(err, rows.ErrAbsent) {
		return nil, config.HistoryEntry{}, errors.Wrapf(ErrUnknownVersion, "version %d", version)
	}
	if err != nil {
		return nil, config.HistoryEntry{}, err
	}
	historyentry, err := config.DecodeHistoryEntry(row)
	if err != nil {
		return nil, historyentry, err
	}
	body, err := service.objects.Get(ctx, historyentry.Object)
	return body, historyentry, err
}

// headOf returns the head row; before the first change it is a row of version 0.
func headOf(stored []rows.Row) rows.Row {
	for _, row := range stored {
		if row.Key == config.HeadKey() {
			return row
		}
	}
	return rows.Row{Key: config.HeadKey()}
}

func conflictsOf(conflicts []config.Conflict) []Conflict {
	var shown []Conflict
	for _, conflict := range conflicts {
		shown = append(shown, Conflict{
			Name: conflict.Name, Base: string(conflict.Base), Current: string(conflict.Current), Proposed: string(conflict.Requested),
		})
	}
	return shown
}
