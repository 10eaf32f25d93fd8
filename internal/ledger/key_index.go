package ledger

import "slices"

// keyIndex holds, for each key of a part, some bits of its hash and the row where
// it stood, in 8 bytes. Two keys may share the bits: they are taken for one that
// is repeated, which costs another reading of their rows and nothing else.
type keyIndex struct {
	// cells are split by the last bits of the hash, so that each grows and is
	// sorted by itself; the first bits are alike in a part.
	cells [1 << cellBits][]uint64
}

const (
	cellBits = 8
	rowBits  = 20
	maxRows  = 1 << rowBits
)

func (x *keyIndex) add(hash uint64, row uint32) {
	cell := &x.cells[hash&(1<<cellBits-1)]
	*cell = append(*cell, hash>>cellBits<<rowBits|uint64(row))
}

// repeated calls found for each place where a key of a cell stands that is there
// more than once.
func (x *keyIndex) repeated(cell int, found func(key repeatedKey, row uint32)) {
	all := x.cells[cell]
	slices.Sort(all)
	for i := range all {
		same := (i > 0 && all[i-1]>>rowBits == all[i]>>rowBits) || (i+1 < len(all) && all[i+1]>>rowBits == all[i]>>rowBits)
		if same {
			found(repeatedKey{cell, all[i] >> rowBits}, uint32(all[i]&(maxRows-1)))
		}
	}
}

// repeatedKey is what the index knows of a key.
type repeatedKey struct {
	cell int
	bits uint64
}

func repeatedKeyOf(hash uint64) repeatedKey {
	return repeatedKey{int(hash & (1<<cellBits - 1)), hash >> cellBits << rowBits >> rowBits}
}
