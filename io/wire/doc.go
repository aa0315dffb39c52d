// Package wire carries calls between nodes and from operators: connect-go with
// compact CBOR bodies, a key on each call, and mutual TLS where it is set up.
package wire
