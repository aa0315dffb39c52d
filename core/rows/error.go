package rows

import "github.com/cockroachdb/errors"

// ErrAbsent says that the store answered and has no such row.
var ErrAbsent = errors.New("rows: no such row")

// ErrOutage says that the store gave no answer to a read.
var ErrOutage = errors.New("rows: the table service does not answer")
