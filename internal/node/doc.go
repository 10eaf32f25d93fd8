// Package node is the entry node: it joins the decisions (which are packages
// without I/O) to callers, upstreams, peers and the platform.
package node
