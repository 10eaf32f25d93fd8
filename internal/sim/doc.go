// Package sim simulates an IP network in one process for tests in virtual time.
// Hosts have links with a bandwidth for each direction, a delay, packet loss and
// cuts, and open TCP connections to each other.
//
// The package serves tests of failures that depend on message size. Over loopback,
// or over links that either work perfectly or drop everything, a megabyte takes as
// long as a kilobyte. A timeout that ignores the message size then never expires.
//
// The package blocks only on timers and condition variables, so it works under
// testing/synctest.
package sim
