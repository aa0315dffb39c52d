// Package wire is the transport of calls between nodes and from operators:
// connect-go with CBOR bodies, a bearer key on each call, and mutual TLS where it
// is configured.
package wire
