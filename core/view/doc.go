// Package view is the snapshot of services, teams and replicas that the control
// loop publishes and request handlers read. It is not changed once published.
package view
