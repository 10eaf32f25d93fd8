// Package example holds the configuration documents and topologies of two example
// deployments: tarifas (harbour dues, optimised for cost) and sahel (training records,
// optimised for latency).
package example
