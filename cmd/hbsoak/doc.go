// Command hbsoak runs nodes, runners and callers as processes of one machine,
// troubles them at random, and checks what they promise.
package main
