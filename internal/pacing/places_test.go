package pacing

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// Fails if the parts of all nodes are more than an upstream's places, or leave some to nobody.
func TestPartsAddUpToThePlaces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var ids []string
		for i := range rapid.IntRange(1, 60).Draw(t, "nodes") {
			ids = append(ids, fmt.Sprintf("n%d", i))
		}
		total := rapid.IntRange(0, 100).Draw(t, "places")
		exceeding := rapid.IntRange(0, 5).Draw(t, "exceeding")
		sum, exceed := 0, 0
		for _, id := range ids {
			var s Senders
			s.Set(id, ids)
			part, mayExceed := new(Places).Part("u", total, exceeding, &s)
			sum += part
			if mayExceed {
				exceed++
			}
		}
		if sum != total || exceed != min(exceeding, len(ids)) {
			t.Fatalf("parts add up to %d of %d places, %d of %d nodes may exceed", sum, total, exceed, exceeding)
		}
	})
}

// BenchmarkPlaces is the cost of a part for 1,600 nodes after a change of the members.
func BenchmarkPlaces(b *testing.B) {
	var ids []string
	for i := range 1600 {
		ids = append(ids, fmt.Sprintf("node-%04d", i))
	}
	var s Senders
	s.Set("node-0007", ids)
	for b.Loop() {
		new(Places).Part("i-7f3a91c2@0", 48, 2, &s)
	}
}
