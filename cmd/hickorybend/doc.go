// Command hickorybend is the node daemon; every node runs the same one.
package main
