// Package membership keeps each node's picture of the VMs: the entry nodes,
// the engines and the plain services, and which of them are live, leaving or
// suspected gone. The platform's list lags and may be wrong; what the node
// itself sees of a VM, and what the VM says of itself, go before it.
//
// It also answers callers which entry addresses to use and for how long, and
// decides the order of steps by which a node stops without cutting a request.
package membership
