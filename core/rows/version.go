package rows

// Version orders the states of a store, or of one row, also across eras. A store
// that comes back from an older copy begins an era and gives numbers out again. The
// era is the more significant part, so that every version of a later era is higher:
//
//	NewVersion(0, 120) < NewVersion(0, 140) < NewVersion(1, 121)
//
// A store without eras has era 0, in which a version is its number.
type Version int64

// numberBits is the size of the number. 12,000 changes a second reach it in 46 years.
const numberBits = 44

const (
	maxEra    = 1<<(63-numberBits) - 1 // highest era that a version holds
	maxNumber = 1<<numberBits - 1
)

// NewVersion returns the version with a number in an era. Values out of range count as
// the nearest one in range, so that the version keeps its era.
func NewVersion(era, number int64) Version {
	return Version(min(max(era, 0), maxEra)<<numberBits | min(max(number, 0), maxNumber))
}

// Era returns how often the store had come back from an older copy.
func (version Version) Era() int64 { return int64(version) >> numberBits }

// Number returns the store's own number, which does not order versions of
// different eras.
func (version Version) Number() int64 { return int64(version) & maxNumber }
