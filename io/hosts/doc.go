// Package hosts reads the platform's lagging list of hosts, in the JSON form
// of HTTP service discovery, and hands hosts back.
package hosts
