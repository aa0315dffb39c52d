// Command hbctl is the operators' command line: it changes and shows the
// configuration, shows replicas and endpoints, drains and explains requests.
package main
