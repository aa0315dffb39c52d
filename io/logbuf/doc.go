// Package logbuf buffers log lines so that logging never blocks. If the output
// doesn't keep up and the buffer is full, lines are dropped; their number is logged
// once there is room again.
package logbuf
