package model

// none marks the end of the chain of cache entries.
const none = -1

// prefixCache holds prefixes in limited memory; the one that was not used for
// longest goes first.
type prefixCache struct {
	limit   int
	index   map[uint64]int32
	entries []cacheEntry
	newest  int32
	oldest  int32
}

type cacheEntry struct {
	prefix uint64
	newer  int32
	older  int32
}

func newPrefixCache(limit int) prefixCache {
	c := prefixCache{limit: limit, newest: none, oldest: none}
	if limit > 0 {
		c.index = make(map[uint64]int32)
	}
	return c
}

func (c *prefixCache) has(prefix uint64) bool {
	_, ok := c.index[prefix]
	return ok
}

// touch reports whether the prefix is cached, and makes it the newest.
func (c *prefixCache) touch(prefix uint64) bool {
	i, ok := c.index[prefix]
	if !ok {
		return false
	}
	c.unlink(i)
	c.link(i)
	return true
}

// store caches the prefix as the newest. It reports whether it was new, and
// which prefix had to go for it.
func (c *prefixCache) store(prefix uint64) (stored, evicted bool, gone uint64) {
	if c.limit == 0 || prefix == 0 || c.touch(prefix) {
		return false, false, 0
	}
	if len(c.entries) < c.limit {
		c.entries = append(c.entries, cacheEntry{prefix: prefix})
		c.add(int32(len(c.entries)-1), prefix)
		return true, false, 0
	}
	i := c.oldest
	gone = c.entries[i].prefix
	delete(c.index, gone)
	c.unlink(i)
	c.add(i, prefix)
	return true, true, gone
}

func (c *prefixCache) add(i int32, prefix uint64) {
	c.entries[i].prefix = prefix
	c.index[prefix] = i
	c.link(i)
}

func (c *prefixCache) link(i int32) {
	c.entries[i].newer = none
	c.entries[i].older = c.newest
	if c.newest != none {
		c.entries[c.newest].newer = i
	}
	c.newest = i
	if c.oldest == none {
		c.oldest = i
	}
}

func (c *prefixCache) unlink(i int32) {
	e := c.entries[i]
	if e.newer == none {
		c.newest = e.older
	} else {
		c.entries[e.newer].older = e.older
	}
	if e.older == none {
		c.oldest = e.newer
	} else {
		c.entries[e.older].newer = e.newer
	}
}
