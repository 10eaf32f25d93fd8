// Package duty runs the long-lived background goroutines of a process and ends the
// process when one of them panics.
package duty
