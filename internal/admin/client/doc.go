// Package client calls the administration API. Every change has an id, so that
// a change whose answer was lost is sent again, or asked for, without being
// applied twice.
package client
