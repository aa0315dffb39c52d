package gate

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// connectionKey is the key of a request's connection in its context.
type connectionKey struct{}

// connection is a server's connection that a gate may have admitted.
type connection interface {
	RequestWhole()
	Ends() bool
}

// ConnContext keeps the connection of a request in its context; it is for http.Server.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, conn)
}

// Handler returns next with account of which requests have come whole. The time limit of the server for reading a request
// ends then, so that it does not end a request whose response takes longer.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, _ := r.Context().Value(connectionKey{}).(connection)
		if conn != nil && conn.Ends() {
			w.Header().Set("Connection", "close")
		}
		body := &body{ReadCloser: r.Body, controller: http.NewResponseController(w), conn: conn}
		if r.Body == http.NoBody {
			body.markWhole()
			next.ServeHTTP(w, r)
			return
		}
		counted := r.WithContext(r.Context()) // the server looks at the body of its own request after the handler
		counted.Body = body
		next.ServeHTTP(w, counted)
	})
}

// body is the body of a request.
type body struct {
	io.ReadCloser
	controller *http.ResponseController
	conn       connection // nil for another server's connection
	whole      bool
}

// Read reads from the body.
func (body *body) Read(buffer []byte) (int, error) {
	count, err := body.ReadCloser.Read(buffer)
	if errors.Is(err, io.EOF) {
		body.markWhole()
	}
	return count, err
}

func (body *body) markWhole() {
	if body.whole {
		return
	}
	body.whole = true
	_ = body.controller.SetReadDeadline(time.Time{}) // if it fails, the client has left
	if body.conn != nil {
		body.conn.RequestWhole()
	}
}
