// Package place decides the placement of a service: which hosts form a replica,
// which spare replaces a lost member, which replica drains and which hosts are
// handed back to the platform.
//
// It weighs the downtime of replicas against stranded accelerators, by the
// weights of the operators' objective. Downtime counts replicas that are wanted
// and cannot serve. The accelerators of a host are stranded while the service
// holds the host and it serves in no complete replica.
package place
