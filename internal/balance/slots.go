package balance

import "time"

// attempt is one attempt in flight.
type attempt struct {
	host       *host
	pool       *pool
	version    string
	generation uint32
	started    time.Duration
	// firstTokenSeen is set once the first piece of the answer has come.
	firstTokenSeen bool
	isolated       bool
	nextFree       uint32 // free list; 0 ends it
}

// attemptTable holds the attempts in flight without an allocation for each.
type attemptTable struct {
	entries  []attempt // entry 0 is never used
	freeHead uint32
}

func (table *attemptTable) add(a attempt) Token {
	if len(table.entries) == 0 {
		table.entries = append(table.entries, attempt{})
	}
	if table.freeHead == 0 {
		table.entries = append(table.entries, attempt{})
		table.freeHead = uint32(len(table.entries) - 1)
	}
	index := table.freeHead
	e := &table.entries[index]
	table.freeHead = e.nextFree
	a.generation = e.generation + 1
	*e = a
	return Token{index: index, generation: e.generation}
}

// get returns the attempt, or nil when it is already done. Counting a token twice would
// take an upstream's requests in flight below their true number.
func (table *attemptTable) get(t Token) *attempt {
	if int(t.index) >= len(table.entries) {
		return nil
	}
	e := &table.entries[t.index]
	if e.host == nil || e.generation != t.generation {
		return nil
	}
	return e
}

func (table *attemptTable) release(t Token) {
	e := &table.entries[t.index]
	e.host = nil
	e.nextFree = table.freeHead
	table.freeHead = t.index
}
