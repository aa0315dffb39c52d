// Package front answers callers: the OpenAI-compatible surface of the models
// and the plain services below their path prefixes.
package front
