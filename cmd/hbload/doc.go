// Command hbload sends open-loop load to nodes and checks every response.
package main
