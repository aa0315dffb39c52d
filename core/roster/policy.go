package roster

import "time"

// Policy sets how long a node may go without renewing its row before it counts as
// unresponsive.
type Policy struct {
	HeartbeatTimeout time.Duration
}
