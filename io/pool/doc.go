// Package pool holds connections to endpoints. Each carries one request at a time.
// The package retries nothing; errors of Send are marked by whether bytes of the
// request may have left this node.
package pool
