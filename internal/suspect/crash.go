package suspect

import (
	"cmp"
	"slices"
)

// CrashID identifies one crash of one upstream, whichever node saw it: the upstream and
// its epoch (one start of the process) that ended.
type CrashID struct {
	Upstream string
	Epoch    uint64
	// Doubt is set if Upstream and Epoch identify a node and its run instead. That node
	// stopped answering and may have lost an upstream to the request unseen.
	Doubt bool
}

func (c CrashID) compare(o CrashID) int {
	if n := cmp.Compare(c.Upstream, o.Upstream); n != 0 {
		return n
	}
	if n := cmp.Compare(c.Epoch, o.Epoch); n != 0 {
		return n
	}
	if c.Doubt == o.Doubt {
		return 0
	}
	if o.Doubt {
		return -1
	}
	return 1
}

// insert adds the crash to a sorted list and reports whether it was new.
func insert(list []CrashID, c CrashID) ([]CrashID, bool) {
	at, found := slices.BinarySearchFunc(list, c, CrashID.compare)
	if found {
		return list, false
	}
	return slices.Insert(slices.Clip(list), at, c), true
}

func contains(list []CrashID, c CrashID) bool {
	_, found := slices.BinarySearchFunc(list, c, CrashID.compare)
	return found
}
