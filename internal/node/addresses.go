package node

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/api"
)

// Addresses returns the entry addresses that a caller should use and how long it may cache
// them.
func (n *Node) Addresses(caller string) api.Addresses {
	answer := n.members.Addresses(caller, time.Now())
	return api.Addresses{Addresses: answer.Addresses, TTLMillis: answer.TTL.Milliseconds()}
}
