// Command standin runs stand-ins for the platform and the endpoints of one
// deployment in one process. Its subcommand runner runs a single endpoint of the
// users' platform.
package main
