// Package sim runs entry nodes, with their real upstream choice and admission,
// against the stand-in engines' model in virtual time, to compare policies.
//
// Everything is a function of [Config] and its seed. The sizes and delays are
// those of the two deployments; what the brief does not give (the mix of
// classes, lengths, times of a step) is assumed, and stated with each constant
// in deployment.go and class.go.
package sim
