//go:build !race

package crashguard

// defaultChecks is the number of rapid cases.
const defaultChecks = "100"
