// Package bill decides how bills become durable and how they are read. A bill
// is keyed by its organisation and request key, so writing it twice is one
// bill. The package does no I/O.
package bill
