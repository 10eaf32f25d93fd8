package load

import (
	"slices"
	"time"
)

// AddressCache holds the entry addresses that a client was given, until their TTL ends.
// It does no I/O. Times are since the beginning of the run.
type AddressCache struct {
	addresses []string
	// setAt and expiresAt are when the list was set and when it expires.
	setAt     time.Duration
	expiresAt time.Duration
	next      int
}

// Set replaces the addresses; they expire ttl after now.
func (b *AddressCache) Set(addresses []string, ttl, now time.Duration) {
	b.addresses = slices.Clone(addresses)
	b.setAt = now
	b.expiresAt = now + ttl
}

// Pick returns the next address, round robin. ok is false if the list has expired or is
// empty and a new one must be fetched.
func (b *AddressCache) Pick(now time.Duration) (addr string, ok bool) {
	if now >= b.expiresAt || len(b.addresses) == 0 {
		return "", false
	}
	b.next++
	return b.addresses[b.next%len(b.addresses)], true
}

// Drop removes an address that could not be connected to.
func (b *AddressCache) Drop(addr string) {
	b.addresses = slices.DeleteFunc(b.addresses, func(a string) bool { return a == addr })
}

// RefreshAt returns when to fetch a new list: after four fifths of the TTL.
func (b *AddressCache) RefreshAt() time.Duration { return b.setAt + (b.expiresAt-b.setAt)*4/5 }
