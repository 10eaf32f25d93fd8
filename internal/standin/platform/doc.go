// Package platform serves the stand-in platform over HTTP. One port has the interface
// of package wire. Another port, the fault port, sets faults, limits and the true
// quality of versions, and serves counters and contents. State and behaviour are in
// package memory.
package platform
