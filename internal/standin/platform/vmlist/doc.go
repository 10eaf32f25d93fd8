// Package vmlist holds the VM list of the stand-in platform with its recent history,
// so that reads can return an outdated list. It has no clock: callers pass the time.
package vmlist
