// Package engine is a small stand-in for a model engine. It speaks HTTP: chat
// completions as a stream of server-sent events, resume and cancel of streams,
// load reports, orders, prefix export and import, and cache events. The policy
// of batching and caching is in package model; here is the shell around it.
package engine
