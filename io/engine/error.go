package engine

import "github.com/cockroachdb/errors"

// ErrUnreached says that no byte of the request reached the endpoint.
var ErrUnreached = errors.New("engine: the endpoint was not reached")

// ErrIncompleteResponse says that the endpoint took the request but its answer did not
// come whole.
var ErrIncompleteResponse = errors.New("engine: the endpoint's answer broke off")

// ErrRefused says that the endpoint answered that it did not take the request.
var ErrRefused = errors.New("engine: the endpoint refused the request")

// ErrLeaseExpired says that an order was not sent because its lease had run out.
var ErrLeaseExpired = errors.New("engine: the lease behind the order has run out")
