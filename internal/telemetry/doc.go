// Package telemetry holds the metrics of a node and serves /metrics, /healthz
// and /readyz.
//
// The cardinality of labels is bounded. Once the bound on organisations with their
// classes, or on versions, is reached, new values count under the label "other".
// Neither memory nor the metrics page grows with traffic. Handles are resolved
// once; observing allocates nothing.
package telemetry
