// Package evac keeps which zones the operators have evacuated. The rows of the
// store are the only source; nodes also learn of them from each other's digests, which
// carry the whole state, since it is a handful of names. States of different nodes are
// merged by the store's versions, so that it does not matter in which order, or how
// often, they arrive.
package evac
