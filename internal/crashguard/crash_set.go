package crashguard

import "math/bits"

// maxCrashes bounds the crashes that a guard stores.
const maxCrashes = 256

// crashSet is a set of crashes by their slots in the guard's table.
type crashSet [maxCrashes / 64]uint64

func (s *crashSet) add(slot int)      { s[slot/64] |= 1 << (slot % 64) }
func (s *crashSet) remove(slot int)   { s[slot/64] &^= 1 << (slot % 64) }
func (s *crashSet) has(slot int) bool { return s[slot/64]&(1<<(slot%64)) != 0 }

// without returns the members of s that are not in other.
func (s crashSet) without(other *crashSet) crashSet {
	for i := range s {
		s[i] &^= other[i]
	}
	return s
}

// common returns the number of members that both sets have.
func (s crashSet) common(other *crashSet) (count int) {
	for i := range s {
		count += bits.OnesCount64(s[i] & other[i])
	}
	return count
}

// size returns the number of members.
func (s crashSet) size() int { return s.common(&s) }

func (s crashSet) empty() bool { return s == crashSet{} }

// merge adds the members of other.
func (s *crashSet) merge(other *crashSet) {
	for i := range s {
		s[i] |= other[i]
	}
}

// each calls do with all slots in ascending order.
func (s crashSet) each(do func(slot int)) {
	for i, word := range s {
		for ; word != 0; word &= word - 1 {
			do(i*64 + bits.TrailingZeros64(word))
		}
	}
}
