// Package platform names what the router needs of the platform it runs on:
// a transactional table, an object store, a list of VMs, a service that rates
// answers, and a weight store. Package client reaches them over HTTP; tests
// may give any other implementation.
//
// Every call may fail in two ways that callers must keep apart: [ErrRefused]
// means that nothing took effect; [ErrUnknown] means that a write may have
// taken effect although its answer was lost.
package platform
