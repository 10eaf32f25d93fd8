// Package rawhttp provides minimal HTTP clients and servers over TCP. They serve tests
// that must see each byte of a connection and benchmarks whose harness must use
// little processor time. No production request passes through them.
package rawhttp
