// Package wire holds the messages, paths and errors of the platform's HTTP
// interface, shared by its client and by the stand-in that serves it.
package wire
