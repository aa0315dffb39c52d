// Package relay checks an engine's stream chunk by chunk, so that a caller gets
// only its own answer, each token once, and an end only if the engine has sent one.
package relay
