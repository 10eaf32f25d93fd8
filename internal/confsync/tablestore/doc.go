// Package tablestore reads the stored configuration from the platform's table, from the rows
// that package admin writes.
package tablestore
