// Package drain ends the connections of an HTTP server without cutting off requests that
// have arrived.
//
// [http.Server.Shutdown] takes a kept connection for idle until the head of the next request
// has been read, and closes it under the request: the bytes may be in the kernel, in the
// server's buffer, or on the way to the handler. A [Listener] looks at all of these. It
// closes a connection only if no byte of a request has come since the last answer, and
// it accepts what stands in the backlog before it closes.
//
// Input is what the server reads and writes; source of the connection states is the
// server's ConnState hook.
package drain
