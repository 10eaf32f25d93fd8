// Package client calls the administration API. Every change has an id. A change whose answer was
// lost can therefore be sent again without being applied twice, and its state can be queried.
package client
