// Package sim simulates entry nodes, with their real upstream choice and admission, and
// upstreams in virtual time, to compare policies. Engines use the model of the stand-in
// engine.
//
// Results depend only on [Config] and its seed. Sizes and delays are those of the two
// deployments. The brief leaves out the mix of classes, lengths and step times; these
// are assumed in deployment.go and class.go.
package sim
