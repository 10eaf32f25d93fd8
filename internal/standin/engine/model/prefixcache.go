package model

// noEntry marks the end of the list of cache entries.
const noEntry = -1

// prefixCache is an LRU cache of prefixes.
type prefixCache struct {
	limit   int
	index   map[uint64]int32
	entries []cacheEntry
	newest  int32
	oldest  int32
}

// cacheEntry is an element of the list of prefixes in the order of their last use.
type cacheEntry struct {
	prefix uint64
	newer  int32
	older  int32
}

func newPrefixCache(limit int) prefixCache {
	c := prefixCache{limit: limit, newest: noEntry, oldest: noEntry}
	if limit > 0 {
		c.index = make(map[uint64]int32)
	}
	return c
}

func (c *prefixCache) has(prefix uint64) bool {
	_, ok := c.index[prefix]
	return ok
}

// touch reports whether the prefix is cached, and makes it the most recently used.
func (c *prefixCache) touch(prefix uint64) bool {
	i, ok := c.index[prefix]
	if !ok {
		return false
	}
	c.unlink(i)
	c.link(i)
	return true
}

// store caches the prefix as the most recently used. It reports whether the prefix was
// added and which prefix was evicted for it.
func (c *prefixCache) store(prefix uint64) (stored, evicted bool, victim uint64) {
	if c.limit == 0 || prefix == 0 || c.touch(prefix) {
		return false, false, 0
	}
	if len(c.entries) < c.limit {
		c.entries = append(c.entries, cacheEntry{prefix: prefix})
		c.add(int32(len(c.entries)-1), prefix)
		return true, false, 0
	}
	i := c.oldest
	victim = c.entries[i].prefix
	delete(c.index, victim)
	c.unlink(i)
	c.add(i, prefix)
	return true, true, victim
}

func (c *prefixCache) add(i int32, prefix uint64) {
	c.entries[i].prefix = prefix
	c.index[prefix] = i
	c.link(i)
}

func (c *prefixCache) link(i int32) {
	c.entries[i].newer = noEntry
	c.entries[i].older = c.newest
	if c.newest != noEntry {
		c.entries[c.newest].newer = i
	}
	c.newest = i
	if c.oldest == noEntry {
		c.oldest = i
	}
}

func (c *prefixCache) unlink(i int32) {
	e := c.entries[i]
	if e.newer == noEntry {
		c.newest = e.older
	} else {
		c.entries[e.newer].older = e.older
	}
	if e.older == noEntry {
		c.oldest = e.newer
	} else {
		c.entries[e.older].newer = e.newer
	}
}
