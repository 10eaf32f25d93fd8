package ledger

import "slices"

// keyIndex has, for each bill of a part, some bits of the hash of its key and the index of
// its row, in 8 bytes. Two keys may have the same bits. They then count as one repeated
// key, and the only cost is that their rows are read again.
type keyIndex struct {
	// cells are selected by the last bits of the hash, since the first bits are the same
	// within a part. Each cell grows and is sorted separately.
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

// repeated calls found for each occurrence of the keys of a cell that occur more than
// once.
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

// repeatedKey identifies a key by the bits of its hash in the index.
type repeatedKey struct {
	cell int
	bits uint64
}

func repeatedKeyOf(hash uint64) repeatedKey {
	return repeatedKey{int(hash & (1<<cellBits - 1)), hash >> cellBits << rowBits >> rowBits}
}
