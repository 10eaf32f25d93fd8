// Package rawhttp has HTTP peers over bare TCP, for tests that must see each
// byte of a connection and for measurements whose own part of the processor
// time must be small. None of it is in the way of a caller's request.
package rawhttp
