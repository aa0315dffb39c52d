// Command hbctl is the operators' client.
package main
