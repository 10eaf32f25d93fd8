// Package hold keeps copies of rows of bills in memory for processes in other failure
// domains, while the platform's stores do not take them. It does no I/O.
package hold
