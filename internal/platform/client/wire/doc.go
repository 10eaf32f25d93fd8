// Package wire defines the messages, paths and errors of the platform's HTTP interface.
// The client and the stand-in platform share it.
package wire
