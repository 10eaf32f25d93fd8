// Package fleet2 starts a small deployment for the cases of a review: gateway processes by
// the command of the deploy file, a stand-in of the platform's store, runners, clients and a
// record of what they saw. Everything listens on loopback addresses.
package fleet2
