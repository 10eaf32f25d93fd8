// Package example holds the configurations of the two first deployments:
// tarifas (harbour dues, cost first) and sahel (training records, latency
// first).
package example
