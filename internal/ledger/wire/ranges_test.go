package wire

import (
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestRangesRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.NewRelaxed(t)
		numbers := rapid.SliceOf(rapid.Uint64Range(0, 50)).Draw(t, "numbers")
		back := Pack(numbers).Unpack()
		slices.Sort(numbers)
		is.True(slices.Equal(back, slices.Compact(numbers)))
	})
}

func TestRangesAreSmallForConsecutiveRows(t *testing.T) {
	is := is.New(t)
	var numbers []uint64
	for i := range 10_000 {
		numbers = append(numbers, uint64(100+i))
	}
	is.Equal(len(Pack(numbers)), 2)
	is.Equal(len(Ranges{0, 1 << 40}.Unpack()), maxUnpacked) // a malformed message is bounded
}
