package roster

import "time"

// Policy sets after how long a node whose row has not been renewed counts as
// unresponsive.
type Policy struct {
	HeartbeatTimeout time.Duration
}
