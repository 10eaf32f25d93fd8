package scenario

import (
	"sync"
	"time"
)

// addressCache is the entry address list of one caller. It queries any known entry, keeps
// the list until its TTL expires and uses the addresses in rotation.
type addressCache struct {
	cluster *cluster
	keep    bool

	mu      sync.Mutex
	list    []string
	expires time.Time
	index   int
	// unreachable holds the addresses that refused a connection from a caller with keep set.
	// Another process on this machine may reuse such a port later, which cannot happen with
	// the address of an entry VM.
	unreachable map[string]bool
}

func newAddressCache(c *cluster, hold bool) *addressCache {
	return &addressCache{cluster: c, keep: hold, unreachable: map[string]bool{}}
}

// next returns the address to use, or "" if no entry returns any.
func (b *addressCache) next() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.list) == 0 || (!b.keep && time.Now().After(b.expires)) {
		b.refresh()
	}
	if len(b.list) == 0 {
		return ""
	}
	for range b.list {
		b.index++
		if addr := b.list[b.index%len(b.list)]; !b.unreachable[addr] {
			return addr
		}
	}
	return ""
}

// markUnreachable excludes an address that refused the connection, if the cache keeps its
// list forever.
func (b *addressCache) markUnreachable(addr string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.keep {
		b.unreachable[addr] = true
	}
}

// refresh queries the cached addresses first, then all running entries.
func (b *addressCache) refresh() {
	candidates := append([]string(nil), b.list...)
	for _, p := range b.cluster.entries() {
		candidates = append(candidates, p.addrs.Main)
	}
	b.list = nil
	for _, addr := range candidates {
		asked := time.Now()
		list, err := fetchAddresses(addr)
		if err != nil || len(list.Addresses) == 0 {
			continue
		}
		for _, a := range list.Addresses {
			b.list = append(b.list, b.cluster.network.direct(a))
		}
		// The TTL counts from the time of the request, because the answer was made before it
		// arrived.
		b.expires = asked.Add(time.Duration(list.TTLMillis) * time.Millisecond)
		return
	}
}
