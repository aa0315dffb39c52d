// Package jsonc decodes JSON with comments into plain structs, by their json
// tags, and reports every fault at once, each with its line and column.
package jsonc
