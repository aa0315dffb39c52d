// Package entry serves callers on the users' platform. It forwards each request
// to an endpoint and returns that endpoint's complete response. If there is none,
// the node's own status shows whether the request may have run: it answers 503
// only if the request has not run, and 502 or 504 if it may have.
package entry
