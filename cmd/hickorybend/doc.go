// Command hickorybend is the daemon of a node; all nodes run the same program.
package main
