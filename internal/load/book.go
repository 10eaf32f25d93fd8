package load

import (
	"slices"
	"time"
)

// Book is the addresses that a caller was told and for how long it may keep
// them. It does no I/O.
type Book struct {
	addresses []string
	// told and until are when the answer came and runs out.
	told  time.Duration
	until time.Duration
	turn  int
}

// Set replaces the addresses.
func (b *Book) Set(addresses []string, ttl, now time.Duration) {
	b.addresses = slices.Clone(addresses)
	b.told = now
	b.until = now + ttl
}

// Pick returns the next address, in turn; ok is false when the answer has run
// out and must be asked for again.
func (b *Book) Pick(now time.Duration) (addr string, ok bool) {
	if now >= b.until || len(b.addresses) == 0 {
		return "", false
	}
	b.turn++
	return b.addresses[b.turn%len(b.addresses)], true
}

// Drop leaves out an address that could not be connected to.
func (b *Book) Drop(addr string) {
	b.addresses = slices.DeleteFunc(b.addresses, func(a string) bool { return a == addr })
}

// AskAt is when to ask again, ahead of the answer's end.
func (b *Book) AskAt() time.Duration { return b.told + (b.until-b.told)*4/5 }
