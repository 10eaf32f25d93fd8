package canary

import (
	"encoding/binary"

	"github.com/rotisserie/eris"
)

// packCounts encodes the counts that are not zero, each with its index. Most grades of most
// nodes are empty, and a leader relays the tallies of its whole group.
func packCounts(counts []int64) []byte {
	var b []byte
	for i, n := range counts {
		if n != 0 {
			b = binary.AppendUvarint(b, uint64(i))
			b = binary.AppendVarint(b, n)
		}
	}
	return b
}

// unpackCounts decodes into counts what packCounts encoded.
func unpackCounts(b []byte, counts []int64) error {
	clear(counts)
	for len(b) > 0 {
		i, read := binary.Uvarint(b)
		if read <= 0 || i >= uint64(len(counts)) {
			return eris.Errorf("packed counts: index %d, want one below %d", i, len(counts))
		}
		b = b[read:]
		n, read := binary.Varint(b)
		if read <= 0 || n < 0 {
			return eris.Errorf("packed counts: count %d at index %d, want one from 0", n, i)
		}
		counts[i] = n
		b = b[read:]
	}
	return nil
}

// GobEncode returns the counts in packed form.
func (c DelayCount) GobEncode() ([]byte, error) {
	flat := make([]int64, 0, 3*delayGrades)
	for _, counts := range []DelayCounts{c.New, c.Base, c.Unfinished} {
		flat = append(flat, counts[:]...)
	}
	return packCounts(flat), nil
}

// GobDecode reads the packed form.
func (c *DelayCount) GobDecode(b []byte) error {
	var flat [3 * delayGrades]int64
	if err := unpackCounts(b, flat[:]); err != nil {
		return err
	}
	copy(c.New[:], flat[:])
	copy(c.Base[:], flat[delayGrades:])
	copy(c.Unfinished[:], flat[2*delayGrades:])
	return nil
}

// GobEncode returns the counts in packed form.
func (c ClassCounts) GobEncode() ([]byte, error) {
	flat := make([]int64, 0, upstreamClasses*int(measures)*delayGrades)
	for _, class := range c {
		for _, counts := range class {
			flat = append(flat, counts[:]...)
		}
	}
	return packCounts(flat), nil
}

// GobDecode reads the packed form.
func (c *ClassCounts) GobDecode(b []byte) error {
	var flat [upstreamClasses * int(measures) * delayGrades]int64
	if err := unpackCounts(b, flat[:]); err != nil {
		return err
	}
	for i := range c {
		for m := range c[i] {
			copy(c[i][m][:], flat[(i*int(measures)+m)*delayGrades:])
		}
	}
	return nil
}
