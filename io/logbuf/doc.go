// Package logbuf writes log lines without ever holding up the one who logs: a
// full pipe drops lines, and their number is told once there is room again.
package logbuf
