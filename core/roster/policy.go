package roster

import "time"

// Policy says for how long a node's row may stand still.
type Policy struct {
	HeartbeatTimeout time.Duration
}
