// Package node is the daemon of a node on a platform with a table service that
// speaks DynamoDB, an object store that speaks S3, and a host list. Package edge
// is the node on the users' platform. One goroutine, Control.Run, which is the
// control loop, owns the control state. Reads, probes, commands and transactions
// run in goroutines of their own and send their results back to it as messages.
// Request handling reads the view that it publishes.
//
// A replica's first host is its member of rank 0, which takes its requests.
package node
