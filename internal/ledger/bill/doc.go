// Package bill decides how bills are stored durably, and merges them when they are
// read. A bill is identified by its organisation and request key, so a bill that is
// written twice counts once. The package does no I/O.
package bill
