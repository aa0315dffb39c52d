package pool

import (
	"hash/maphash"
	"slices"
)

// maxHistory limits the IDs that are kept of one connection.
const maxHistory = 256

// history is the IDs of the latest requests that were sent on a connection, as hashes. Requests
// without an ID share the empty one.
type history struct {
	ids []uint64
}

// historySeed makes the hashes differ between processes, so that callers cannot choose IDs
// that collide.
var historySeed = maphash.MakeSeed()

func (history *history) add(id string) {
	if len(history.ids) == maxHistory {
		history.ids = slices.Delete(history.ids, 0, 1)
	}
	history.ids = append(history.ids, maphash.String(historySeed, id))
}

func (history *history) contains(id string) bool {
	return slices.Contains(history.ids, maphash.String(historySeed, id))
}
