// Package conf reads and checks a node's settings.
package conf
