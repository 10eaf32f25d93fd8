package fleet

import (
	"testing"

	"github.com/matryer/is"
)

// Fails if a part of the upstreams that begins in the middle has another size, or leaves some out.
func TestWindowOfUpstreams(t *testing.T) {
	is := is.New(t)
	members := make([]*Upstream, 5)
	for i := range members {
		members[i] = &Upstream{}
	}
	seen := map[*Upstream]int{}
	for first := range 10 {
		chosen := window(members, first, 2)
		is.Equal(len(chosen), 2)
		for _, u := range chosen {
			seen[u]++
		}
	}
	for _, u := range members {
		is.Equal(seen[u], 4)
	}
	is.Equal(len(window(members, 3, 9)), 5)
}
