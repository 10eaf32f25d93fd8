// Package memory is the stand-in platform within a process: it implements
// platform.Platform without a socket or a goroutine, for tests, for virtual
// time, and as the state behind the stand-in's HTTP server.
package memory
