// Package roster lists the nodes of the system by their rows in the table
// service. Each node renews its row as a heartbeat; a node that stops renewing it
// becomes unresponsive.
package roster
