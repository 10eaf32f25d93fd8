// Package control drives a stand-in platform through its fault port: faults,
// limits, the true quality of versions, and the figures. Its messages are the
// types of packages fault, rating and memory.
package control
