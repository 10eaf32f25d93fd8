// Package telemetry holds the metrics of a node and answers /metrics, /healthz
// and /readyz.
//
// Labels are bounded: beyond a stated number of organisations with their
// classes, or of versions, what comes later counts under the label "other", so
// that neither the memory nor the page grows with what passes through. Handles
// are resolved once; observing allocates nothing.
package telemetry
