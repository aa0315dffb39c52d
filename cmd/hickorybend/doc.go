// Command hickorybend is the daemon of a node. With --settings it runs package
// node. With the subcommand edge it runs package edge, a node on the users'
// platform. The two have separate settings files and separate protocols between
// nodes.
package main
