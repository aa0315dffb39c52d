// Package rows is the vocabulary of the platform's table service: versioned
// rows, conditional transactions, outcomes of three values, and the settling
// of an outcome that is not known.
package rows
