// Package place decides the placement of a service: which hosts form a replica,
// which spare replaces a lost member, which replica drains and which hosts are
// handed back to the platform. It plans for package node; package fleet plans for
// package edge.
//
// It weighs the downtime of replicas against stranded accelerators, by the
// weights of the operators' objective. Downtime counts replicas that are wanted
// and cannot serve. The accelerators of a host are stranded while the service
// holds the host and the host serves in no complete replica.
//
// The members of a replica share a fabric domain, the hosts that one
// interconnect joins. A spare is an idle host that can replace a lost member;
// it does not serve. A reserve replica serves, but demand does not need it.
package place
