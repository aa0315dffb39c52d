package lease

import "hickorybend/core/rows"

// fencesPerEra bounds the fencing numbers of one era of the store.
const fencesPerEra = 1 << 20

// FencingNumber returns the number of a fencing row. It rises with each acquisition
// of the lease, also when the store comes back from an older copy and counts the
// writes of the row from a lower one again.
func FencingNumber(fencingRow rows.Row) int64 {
	return fencingRow.Version.Era()*fencesPerEra + fencingRow.Version.Number()
}
