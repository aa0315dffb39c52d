package edge

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"hickorybend/core/crash"
	"hickorybend/io/event"
	"hickorybend/io/gossip"
)

// errStopped answers an operator whose call the control loop did not handle.
var errStopped = errors.New("edge: the node is stopping or stands still")

// blocksListed asks Control for the blocked inputs.
type blocksListed struct {
	reply chan gossip.BlockStatusList
}

// blockLifted orders Control to lift the blocks of the inputs with an ID.
type blockLifted struct {
	input string
	reply chan gossip.LiftReply
}

func (blocksListed) message() {}
func (blockLifted) message()  {}

// BlockStatusList returns what this node knows of the inputs that are blocked.
func (control *Control) BlockStatusList(ctx context.Context) (gossip.BlockStatusList, error) {
	reply := make(chan gossip.BlockStatusList, 1)
	if err := control.order(ctx, blocksListed{reply: reply}); err != nil {
		return gossip.BlockStatusList{}, err
	}
	select {
	case blockstatuslist := <-reply:
		return blockstatuslist, nil
	case <-ctx.Done():
		return gossip.BlockStatusList{}, errStopped
	}
}

// Lift lifts blocks by an operator's order. The other nodes learn of it as of other
// changes of blocks, and the node that places removes them from the store.
func (control *Control) Lift(ctx context.Context, request gossip.LiftRequest) (gossip.LiftReply, error) {
	reply := make(chan gossip.LiftReply, 1)
	if err := control.order(ctx, blockLifted{input: request.Input, reply: reply}); err != nil {
		return gossip.LiftReply{}, err
	}
	select {
	case liftreply := <-reply:
		return liftreply, nil
	case <-ctx.Done():
		return gossip.LiftReply{}, errStopped
	}
}

func (control *Control) order(ctx context.Context, message message) error {
	select {
	case control.messages <- message:
		return nil
	case <-ctx.Done():
		return errStopped
	}
}

func (control *Control) handleBlocksListed(listed blocksListed, now time.Time) {
	var blockstatuslist gossip.BlockStatusList
	for _, block := range control.crashes.ledger.Blocks() {
		if block.Lifted {
			continue
		}
		status := gossip.BlockStatus{Block: gossip.InputBlock{
			Service: block.Input.Service, Input: block.Input.ID, Round: block.Round, Crashes: block.Crashes, Trials: block.Trials, Passed: block.Passed,
			Age: int64(now.Sub(block.Since)), NextTrialDelay: int64(block.NextTrial.Sub(now)),
		}}
		evidence := control.crashes.ledger.Evidence(block.Input)
		status.Uses = evidence.Uses
		for _, report := range evidence.Crashes {
			status.Evidence = append(status.Evidence, gossip.CrashReport{
				Service: report.Input.Service, Input: report.Input.ID, Position: report.Position,
				Endpoint: report.Incarnation.Endpoint, StartedAt: report.Incarnation.StartedAt, Age: int64(now.Sub(report.At)),
				AnswerAge: answerAge(report, now),
			})
		}
		blockstatuslist.Blocks = append(blockstatuslist.Blocks, status)
	}
	listed.reply <- blockstatuslist
}

func (control *Control) handleBlockLifted(lifted blockLifted, now time.Time) {
	found := false
	for _, block := range control.crashes.ledger.Blocks() {
		if block.Input.ID == lifted.input && control.crashes.ledger.Lift(block.Input) {
			found = true
		}
	}
	event.Log(control.log, event.BlockLifted, zap.String("input", lifted.input), zap.Bool("found", found))
	control.showSuspects()
	control.showBlocks(now)
	lifted.reply <- gossip.LiftReply{Lifted: found}
}

// answerAge returns the age of the answer to a request that was near at a crash, or 0 if it had
// not begun.
func answerAge(report crash.Report, now time.Time) int64 {
	if report.BegunAt.IsZero() {
		return 0
	}
	return int64(now.Sub(report.BegunAt))
}
