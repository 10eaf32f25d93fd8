// Package hold keeps copies of rows of bills for processes in other failure
// domains, while the platform does not take them. It does no I/O.
package hold
