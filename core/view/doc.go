// Package view defines the View of services, teams and replicas that the control
// loop of package node publishes and request handlers read. A View is not changed
// once published.
package view
