// Package control is the client of a stand-in platform's fault port. It sets faults,
// limits and the true quality of versions, and reads counters and contents. Its
// messages are the types of packages fault, rating and memory.
package control
