package balance

import "time"

// slot is one attempt in flight.
type slot struct {
	host       *host
	pool       *pool
	version    string
	generation uint32
	started    time.Duration
	// answered is set once the first piece has come.
	answered bool
	alone    bool
	next     uint32 // free list; 0 ends it
}

// slots holds the attempts in flight without an allocation for each.
type slots struct {
	list []slot // entry 0 is never used
	free uint32
}

func (s *slots) take(attempt slot) Token {
	if len(s.list) == 0 {
		s.list = append(s.list, slot{})
	}
	if s.free == 0 {
		s.list = append(s.list, slot{})
		s.free = uint32(len(s.list) - 1)
	}
	index := s.free
	e := &s.list[index]
	s.free = e.next
	attempt.generation = e.generation + 1
	*e = attempt
	return Token{slot: index, generation: e.generation}
}

// get returns the attempt, or nil when it has been done: a token told twice
// must not count an upstream's requests below what they are.
func (s *slots) get(t Token) *slot {
	if int(t.slot) >= len(s.list) {
		return nil
	}
	e := &s.list[t.slot]
	if e.host == nil || e.generation != t.generation {
		return nil
	}
	return e
}

func (s *slots) release(t Token) {
	e := &s.list[t.slot]
	e.host = nil
	e.next = s.free
	s.free = t.slot
}
