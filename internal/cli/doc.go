// Package cli is the command line: one command a file, each checks its
// settings, builds the parts and runs until it is told to stop.
package cli
