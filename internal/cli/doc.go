// Package cli implements the hickorybank command line, with one file for each command or group of
// commands. A command checks its settings before it runs; a server runs until SIGINT or SIGTERM.
package cli
