// Command hbload sends open-loop load to nodes and checks every answer.
package main
