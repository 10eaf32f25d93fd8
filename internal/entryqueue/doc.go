// Package entryqueue decides when an entry node starts requests of a service whose upstreams
// have no room: run now, wait at the node, or refuse. It does no I/O and reads no clock.
//
// Load pattern: more requests than slots for seconds, of several priorities, part of them sent
// by few organisations at many times their usual rate. Each node sees a share of the requests
// and a late estimate of the load that all nodes together put on the upstreams.
package entryqueue
