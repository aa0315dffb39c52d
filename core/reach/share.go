package reach

const (
	minConnections      = 1  // of a node to an endpoint, also where that is more than its share
	unstatedConnections = 64 // of a node to an endpoint of which it is not stated how many it accepts
	reservedFromHere    = 4  // from this share on, a place of it is kept for the node's own requests
)

// Connections is how many connections a node may have in use to one endpoint.
type Connections struct {
	Requests int // for callers' requests
	Own      int // for probes, health checks and commands
}

// ShareConnections divides among the nodes the connections that an endpoint accepts from
// all of them. The shares are equal: one that followed the requests would have to be
// taken back while its connections are in use, and the sum would pass what the endpoint
// accepts until they are not. One place is kept for the node's own requests, so that
// a probe finds one however many streams there are. accepted is 0 if it is not stated.
func ShareConnections(accepted, nodes int) Connections {
	share := max(minConnections, accepted/max(1, nodes))
	if accepted <= 0 {
		share = unstatedConnections
	}
	if share < reservedFromHere {
		return Connections{Requests: share, Own: 1}
	}
	return Connections{Requests: share - 1, Own: 1}
}
