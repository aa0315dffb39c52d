// Package quota decides which requests are admitted: each team within its
// share of its limits, and under load the urgent before the rest.
package quota
