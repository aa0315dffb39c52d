// Command standin runs small stand-ins for the platform and the endpoints of
// one deployment in one process.
package main
