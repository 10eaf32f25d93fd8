// Package membership maintains each node's view of the VMs: the entry nodes, the engines and
// the plain services, each live, leaving or suspected dead. The platform's list lags and may
// be wrong, so that a node's own observations and a VM's own reports take precedence.
//
// The package also selects the entry addresses for callers, and determines the steps of a
// planned stop that interrupts no request.
package membership
