package edge

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"hickorybend/core/crash"
	"hickorybend/core/rows"
	"hickorybend/io/event"
)

// blocksKey is the row of the blocked inputs. Nodes learn of blocks from
// each other; the row is for the case that all of them start again. Each node reads it
// when it starts, or when it may place where all start for the first time, and the node that
// places writes it.
var blocksKey = rows.Key{Partition: "blocks", Sort: "all"}

const blocksRetryDelay = time.Second // after a failed read or write of the row

// storedBlock is a blocked input in the row.
type storedBlock struct {
	Service string `json:"service"`
	Input   string `json:"part"`
	Round   int    `json:"round"`
	Crashes int    `json:"crashes"`
	Trials  int    `json:"trials"`
}

// storedBlocks is what this node knows of the row.
type storedBlocks struct {
	read        bool          // since this node has started
	latest      []storedBlock // as last read or written
	era         int64         // of the store then
	writing     bool
	nextWriteAt time.Time
}

// blocksRead carries the row as a node that starts has read it.
type blocksRead struct {
	blocks []storedBlock
	era    int64
}

// blocksWritten is the outcome of writing the row.
type blocksWritten struct {
	blocks  []storedBlock
	era     int64
	outcome rows.Outcome
}

func (blocksRead) message()    {}
func (blocksWritten) message() {}

// readBlocks reads the row, until the store answers or the context ends.
func (control *Control) readBlocks(ctx context.Context) {
	for ctx.Err() == nil {
		if control.startHold(tableLease) > 0 && !control.follows(tableLease) {
			sleep(ctx, roleCheckInterval) // at the first start; the nodes that may place read it
			continue
		}
		row, err := control.store.Get(ctx, blocksKey)
		if err == nil || errors.Is(err, rows.ErrAbsent) {
			var blocks []storedBlock
			if err := json.Unmarshal(row.Body, &blocks); err != nil && len(row.Body) > 0 {
				event.Log(control.log, event.RowUnreadable, zap.String("row", blocksKey.Partition), zap.Error(err))
			}
			control.enqueue(blocksRead{blocks: blocks, era: row.Version.Era()})
			return
		}
		sleep(ctx, blocksRetryDelay)
	}
}

// handleBlocksRead takes the blocks in the row. Their trials come as if they had just
// been blocked, since the row has no times: clocks of nodes may jump.
func (control *Control) handleBlocksRead(read blocksRead, now time.Time) {
	stored := &control.crashes.stored
	stored.read, stored.latest, stored.era = true, read.blocks, read.era
	for _, block := range read.blocks {
		control.crashes.ledger.Restore(crash.Block{
			Input: crash.Input{Service: block.Service, ID: block.Input}, Round: block.Round, Crashes: block.Crashes, Trials: block.Trials, Since: now,
		})
	}
}

// writeBlocks writes the row if it differs from the blocks that this node knows, or if
// the store has come back from an older copy since.
func (control *Control) writeBlocks(now time.Time) {
	stored := &control.crashes.stored
	if !control.placement.active || !stored.read || stored.writing || now.Before(stored.nextWriteAt) {
		return
	}
	blocks, era := control.crashes.activeBlocks(), control.endpoints.completeVersion.Era()
	if slices.Equal(blocks, stored.latest) && (era <= stored.era || len(blocks) == 0) {
		return
	}
	body, err := json.Marshal(blocks)
	if err != nil {
		event.Log(control.log, event.RowUnreadable, zap.String("row", blocksKey.Partition), zap.Error(err))
		return
	}
	stored.writing = true
	go func() {
		control.enqueue(blocksWritten{blocks: blocks, era: era, outcome: control.overwriteRow(blocksKey, body)})
	}()
}

// activeBlocks returns the blocked inputs as they are stored, in a fixed order.
func (crashes *crashes) activeBlocks() []storedBlock {
	var blocks []storedBlock
	for _, block := range crashes.ledger.Blocks() {
		if !block.Lifted {
			blocks = append(blocks, storedBlock{Service: block.Input.Service, Input: block.Input.ID, Round: block.Round, Crashes: block.Crashes, Trials: block.Trials})
		}
	}
	slices.SortFunc(blocks, func(a, b storedBlock) int {
		return strings.Compare(a.Service+"\x00"+a.Input, b.Service+"\x00"+b.Input)
	})
	return blocks
}

func (control *Control) handleBlocksWritten(written blocksWritten, now time.Time) {
	stored := &control.crashes.stored
	stored.writing = false
	if _, committed := written.outcome.(rows.Committed); committed {
		stored.latest, stored.era = written.blocks, written.era
		return
	}
	stored.nextWriteAt = now.Add(blocksRetryDelay)
	event.Log(control.log, event.OutcomeUnknown, zap.String("row", blocksKey.Partition), zap.String("outcome", describeOutcome(written.outcome)))
}
