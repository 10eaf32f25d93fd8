// Package vmlist is the lagging VM list of the stand-in platform: a plain
// structure that is given the time and answers with the state of some time ago.
package vmlist
