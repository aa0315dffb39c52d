// Package view is the picture of services, teams and replicas that control
// makes and traffic reads; it never changes once it is published.
package view
