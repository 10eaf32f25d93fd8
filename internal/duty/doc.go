// Package duty runs the goroutines of a process's duties.
package duty
