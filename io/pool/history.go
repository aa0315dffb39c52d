package pool

import (
	"hash/maphash"
	"slices"
)

// maxHistory limits the IDs of one connection to 2 KB. It is closed then, which costs one new
// connection for each 256 requests at most.
const maxHistory = 256

// noID stands for the ID of a request or an answer that has none. No header can bear it.
const noID = "\x00"

// history is the IDs of the requests that a connection has carried, as hashes.
//
// An endpoint may answer a request twice, and the second answer may come late. The ID in
// it tells it from the answer to the present request only if the connection carries each ID once. The
// same holds for noID: endpoints repeat an ID, so that an answer without one belongs to the one
// request without one.
type history struct {
	ids []uint64
}

// historySeed makes the hashes differ between processes, so that callers cannot choose IDs
// that collide.
var historySeed = maphash.MakeSeed()

func (history *history) add(id string) {
	if id != "" {
		history.ids = append(history.ids, maphash.String(historySeed, id))
	}
}

func (history *history) contains(id string) bool {
	return id != "" && slices.Contains(history.ids, maphash.String(historySeed, id))
}

func (history *history) full() bool { return len(history.ids) >= maxHistory }

// idOf returns the ID that an answer bears, noID if it bears none, and an empty text if it bears several.
func idOf(answerIDs []string) string {
	id := noID
	for _, answerID := range answerIDs {
		switch {
		case answerID == "" || answerID == id:
		case id == noID:
			id = answerID
		default:
			return ""
		}
	}
	return id
}
