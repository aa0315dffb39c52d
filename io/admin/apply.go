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

// ErrMissingBase says that a change names no version to start from, though one is in force.
var ErrMissingBase = errors.New("admin: a configuration is in force, so the change needs the version that it started from")

// ErrUnknownVersion says that the history has no such version.
var ErrUnknownVersion = errors.New("admin: no such version")

// ErrBusy says that the store did not settle a change; asking again is safe.
var ErrBusy = errors.New("admin: the table service did not take the change; try again")

const applyTries = 8

// Apply puts an operator's text in force, as a change against the version that
// the operator started from. It is tried again when another change of other
// sections came first.
func (service *Service) Apply(ctx context.Context, spec *intent.Spec, base int64, operator string) (ApplyResult, error) {
	baseSections, err := service.sectionsAt(ctx, base)
	if err != nil {
		return ApplyResult{}, err
	}
	for range applyTries {
		applyresult, again, err := service.applyOnce(ctx, spec, base, baseSections, operator)
		if err != nil || !again {
			return applyresult, err
		}
	}
	return ApplyResult{}, ErrBusy
}

func (service *Service) applyOnce(ctx context.Context, spec *intent.Spec, base int64, baseSections []intent.Section, operator string) (ApplyResult, bool, error) {
	stored, err := service.store.List(ctx, config.Partition)
	if err != nil {
		return ApplyResult{}, false, err
	}
	head := headOf(stored)
	if base == 0 && head.Version > 0 {
		return ApplyResult{}, false, errors.Wrapf(ErrMissingBase, "in force: %d", head.Version)
	}
	if base > head.Version {
		return ApplyResult{}, false, errors.Wrapf(ErrUnknownVersion, "%d", base)
	}
	plan, conflicts := config.Merge(baseSections, config.SectionsOf(stored), spec.Sections())
	if len(conflicts) > 0 {
		event.Log(service.log, event.ConfigConflict, zap.String("operator", operator), zap.Int64("base", base), zap.Int64("head", head.Version))
		return ApplyResult{Head: head.Version, Conflicts: conflictsOf(conflicts)}, false, nil
	}
	if len(plan.Changes) == 0 {
		return ApplyResult{Head: head.Version, Unchanged: true}, false, nil
	}
	object, err := service.keep(ctx, plan)
	if err != nil {
		return ApplyResult{}, false, err
	}
	entry := config.Entry{Operator: operator, At: time.Now().UTC(), Object: object}
	txn, err := config.Accept(plan, head, stored, entry, uuid.NewString())
	if err != nil {
		return ApplyResult{}, false, err
	}
	if deaf := service.node.Notify(ctx, txn.WriteID, entryVersion(head), false); len(deaf) > 0 {
		service.node.Notify(ctx, txn.WriteID, entryVersion(head), true)
		event.Log(service.log, event.PeerNotNotified, zap.Strings("nodes", deaf))
		return ApplyResult{Head: head.Version, Unresponsive: deaf}, false, nil
	}
	return service.commit(ctx, txn, plan, entryVersion(head))
}

func entryVersion(head rows.Row) int64 { return head.Version + 1 }

// keep checks the text that would be in force as a whole and stores it.
func (service *Service) keep(ctx context.Context, plan config.Plan) (string, error) {
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

func (service *Service) commit(ctx context.Context, txn rows.Txn, plan config.Plan, head int64) (ApplyResult, bool, error) {
	switch table.CommitAndResolve(ctx, service.store, txn).(type) {
	case rows.Committed:
		applyresult := ApplyResult{Head: head}
		for _, change := range plan.Changes {
			applyresult.Sections = append(applyresult.Sections, change.Name)
		}
		applyresult.Acknowledged, applyresult.Unacknowledged = service.node.Broadcast(ctx, written(txn))
		event.Log(service.log, event.ConfigAccepted, zap.Int64("head", head), zap.Strings("sections", applyresult.Sections))
		return applyresult, false, nil
	case rows.Refused:
		service.node.Notify(ctx, txn.WriteID, head, true)
		return ApplyResult{}, true, nil
	default:
		return ApplyResult{Head: head, Unknown: true}, false, nil
	}
}

func written(txn rows.Txn) []rows.Row {
	var changed []rows.Row
	for _, op := range txn.Ops {
		if put, isPut := op.(rows.Put); isPut && put.Key.Partition == config.Partition {
			changed = append(changed, rows.Apply(put, txn.WriteID))
		}
	}
	return changed
}

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

// textAt reads the whole text that a version left in force.
func (service *Service) textAt(ctx context.Context, version int64) ([]byte, config.Entry, error) {
	row, err := service.store.Get(ctx, config.HistoryKey(version))
	if errors.Is(err, rows.ErrAbsent) {
		return nil, config.Entry{}, errors.Wrapf(ErrUnknownVersion, "%d", version)
	}
	if err != nil {
		return nil, config.Entry{}, err
	}
	entry, err := config.ReadEntry(row)
	if err != nil {
		return nil, entry, err
	}
	body, err := service.objects.Get(ctx, entry.Object)
	return body, entry, err
}

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
