package entry

// noRoom means that this node may have no further connection open to the endpoint, so
// that no byte of the request has left it. Nothing speaks against the endpoint.
type noRoom struct{}

func (noRoom) result() {}
