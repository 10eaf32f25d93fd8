// Package sim is a network in one process, for tests that run in virtual time:
// hosts whose links have a bandwidth each way, a delay, loss and cuts, and TCP
// connections between them.
//
// It exists for failures that depend on size. Over loopback, or over links that
// are sound or silent, a message of a megabyte costs as much as one of a
// kilobyte, and a time limit that knows no size is never reached.
//
// All of it waits on timers and condition variables only, so that it runs under
// testing/synctest.
package sim
