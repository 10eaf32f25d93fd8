// Package setting checks the settings of a command as a whole. A setting keeps
// what was given, whatever it is, until all are known; then every fault is told
// at once, each with its flag, its variable, the value and what is accepted.
package setting
