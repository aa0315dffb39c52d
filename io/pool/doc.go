// Package pool keeps channels to endpoints. Each carries one request at a time,
// nothing is repeated here, and every error says whether bytes may have left.
package pool
