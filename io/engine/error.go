package engine

import "github.com/cockroachdb/errors"

// ErrUnreached means that no byte of the request reached the endpoint.
var ErrUnreached = errors.New("engine: the endpoint was not reached")

// ErrIncompleteResponse means that the endpoint may have started the request but
// its response did not arrive completely.
var ErrIncompleteResponse = errors.New("engine: the endpoint's response is incomplete")

// ErrRejected means that the endpoint responded that it rejects the request.
var ErrRejected = errors.New("engine: the endpoint rejected the request")

// ErrLeaseExpired means that a command was not sent because the lease that it relies
// on had expired.
var ErrLeaseExpired = errors.New("engine: the lease expired before the command was sent")
