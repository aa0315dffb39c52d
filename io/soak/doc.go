// Package soak runs nodes and runners as processes on one machine, injects faults
// that are drawn from a seed, and checks invariants on what callers and runners
// observe.
//
// A runner is the process of an endpoint; package fakes implements it. Runners of
// the model service form replicas, and each stands for one host. The first host of
// a replica is its member of rank 0, which takes the replica's requests. An
// incarnation is one process of a node or runner, from its start to its exit.
//
// Each node has one proxy for its callers and one for its connections to the
// store, and each runner has one; link faults act on these proxies. The fabric
// is the HTTP server to which runners send heartbeats and report each execution
// before it begins.
//
// The timeline records when each component had a fault. Bounds on time are
// checked only where no component involved had one. Pauses by RunnersPaused are
// components of their own: they excuse no answer that is cut off.
package soak
