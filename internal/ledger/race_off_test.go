//go:build !race

package ledger

// singleProcessor does nothing without the race detector.
func singleProcessor() (restore func()) { return func() {} }
