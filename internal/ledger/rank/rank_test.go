package rank

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/platform"
)

func fleet(n int) []platform.VM {
	var vms []platform.VM
	for i := range n {
		vms = append(vms, platform.VM{ID: fmt.Sprintf("e%d", i)})
	}
	return vms
}

func TestLeavingMemberMovesOnlyItsDuties(t *testing.T) {
	is := is.New(t)
	all := fleet(8)
	for i := range 200 {
		duty := fmt.Sprintf("duty-%d", i)
		before := First(duty, all, 1)[0].ID
		after := First(duty, all[1:], 1)[0].ID
		if before != "e0" {
			is.Equal(before, after)
		}
	}
}

func TestDutiesSpread(t *testing.T) {
	is := is.New(t)
	count := map[string]int{}
	for i := range 8000 {
		count[First(fmt.Sprintf("duty-%d", i), fleet(8), 1)[0].ID]++
	}
	for _, n := range count {
		is.True(n > 800 && n < 1200) // of 1000 each
	}
}

func BenchmarkFirstOf1600(b *testing.B) {
	all := fleet(1600)
	for b.Loop() {
		First("claims/t/000003/000028333333/", all, 3)
	}
}
