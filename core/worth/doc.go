// Package worth rates how many replicas each model should have, for package fleet. It
// is pure: it knows numbers of hosts and replicas, but no endpoints.
//
// All values are in hosts: a replica of 4 hosts that is fully needed is worth at least
// 4. The value of a model's replicas grows more slowly the closer they come to the need
// of the model, so that under shortage the best plan covers the same fraction of the need of each
// model. A plan of the largest number of replicas would serve only the smallest model.
//
// Best picks one option for each fabric domain. An option is a number of replicas of
// each model with its cost, such as the loss of service while replicas move.
package worth
