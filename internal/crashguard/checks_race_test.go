//go:build race

package crashguard

// The race detector makes a case some ten times slower, and a guard has no second goroutine.
const defaultChecks = "15"
