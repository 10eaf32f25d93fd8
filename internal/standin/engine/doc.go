// Package engine is a small stand-in for a model engine with an HTTP interface: chat
// completions as streams of server-sent events, resume and cancellation of streams,
// load reports, orders, prefix export and import, and cache events. Package model
// simulates batching and caching; this package serves it and injects faults.
package engine
