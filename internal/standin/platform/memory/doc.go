// Package memory is the in-process stand-in platform. It implements platform.Platform
// without sockets and goroutines, for tests, for virtual time, and as the state of the
// stand-in's HTTP server.
package memory
