package engine

import "github.com/cockroachdb/errors"

// ErrUnreached means that no byte of the request reached the endpoint.
var ErrUnreached = errors.New("engine: the endpoint was not reached")

// ErrIncompleteResponse means that the endpoint may have started the request but
// its response did not arrive completely.
var ErrIncompleteResponse = errors.New("engine: the endpoint's response is incomplete")

// ErrRejected means that the endpoint responded that it rejects the request.
var ErrRejected = errors.New("engine: the endpoint rejected the request")

// ErrCommandExpired means that a command was not sent because its deadline had passed,
// so that the lease that it relies on may have expired.
var ErrCommandExpired = errors.New("engine: the deadline of the command passed before it was sent")
