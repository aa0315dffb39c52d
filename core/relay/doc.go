// Package relay checks an engine's stream chunk by chunk, so that a caller
// gets its own answer, each token once, and an end only when the engine said so.
package relay
