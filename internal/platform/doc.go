// Package platform defines the interfaces of the platform that the router runs on: a
// transactional table, an object store, a list of VMs and a service that rates model
// answers. Package client implements them over HTTP, and downloads from the weight
// store; tests may use other implementations.
//
// Every call may fail in two ways that callers must distinguish. [ErrRefused] means
// that the call had no effect. [ErrUnknown] means that a write may have taken effect
// although its response was lost.
package platform
