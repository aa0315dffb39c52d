package entry

import (
	"context"
	"net"

	"hickorybend/io/pool"
)

// connectionKey is the key of a request's connection in its context.
type connectionKey struct{}

// ConnContext keeps the connection of a request in its context, and limits what waits in it; it
// is for http.Server.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	limitUnsent(conn)
	return context.WithValue(ctx, connectionKey{}, conn)
}

// callerLeft reports whether the caller has left. It looks at the connection itself too: a
// busy node may not have read yet that it was closed.
func (request *request) callerLeft() bool {
	if request.r.Context().Err() != nil {
		return true
	}
	conn, found := request.r.Context().Value(connectionKey{}).(net.Conn)
	return found && pool.Ended(conn)
}

// callerStays reports the opposite.
func (request *request) callerStays() bool { return !request.callerLeft() }
