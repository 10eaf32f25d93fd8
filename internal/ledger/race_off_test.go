//go:build !race

package ledger

// steady does nothing without the race detector.
func steady() (restore func()) { return func() {} }
