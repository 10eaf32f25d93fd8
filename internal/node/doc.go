// Package node implements the entry node. It connects the packages that make decisions
// without I/O to callers, upstreams, peers and the platform.
package node
