package rows

import "github.com/cockroachdb/errors"

// ErrAbsent means that the store answered and has no such row.
var ErrAbsent = errors.New("rows: no such row")

// ErrOutage means that the store did not answer a read.
var ErrOutage = errors.New("rows: the table service does not answer")
