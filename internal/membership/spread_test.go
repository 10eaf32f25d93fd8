package membership

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/hickorybank/hickorybank/internal/platform"
)

func entry(i, domains int, state State) Member {
	vm := platform.VM{ID: fmt.Sprint("n", i), Role: platform.RoleEntry, Addr: fmt.Sprint("addr", i), FailureDomain: fmt.Sprint("d", i%domains)}
	return Member{VM: vm, State: state}
}

// While some VMs are live, an answer contains no VMs that are leaving or suspected. It
// covers as many failure domains as possible.
func TestPickedAddressesAreLiveAndBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		domains := rapid.IntRange(1, 5).Draw(t, "domains")
		var entries []Member
		live := map[string]string{} // domain by address
		liveDomains := map[string]bool{}
		for i := range rapid.IntRange(0, 20).Draw(t, "nodes") {
			m := entry(i, domains, State(rapid.IntRange(0, 2).Draw(t, "state")))
			m.Load = rapid.Float64Range(0, 1).Draw(t, "load")
			entries = append(entries, m)
			if m.State == Live {
				live[m.Addr] = m.FailureDomain
				liveDomains[m.FailureDomain] = true
			}
		}
		size := rapid.IntRange(1, 6).Draw(t, "size")
		picked := pickAddresses(entries, "caller", size)
		if len(live) == 0 {
			return
		}
		if len(picked) != min(size, len(live)) {
			t.Fatalf("picked %d addresses of %d live ones", len(picked), len(live))
		}
		seen := map[string]bool{}
		for _, addr := range picked {
			if _, ok := live[addr]; !ok {
				t.Fatalf("%s is not live", addr)
			}
			seen[live[addr]] = true
		}
		if len(seen) < min(len(picked), len(liveDomains)) {
			t.Fatalf("%v are in %d of %d failure domains", picked, len(seen), len(liveDomains))
		}
	})
}

// If all other nodes are suspects, this node is probably cut off: callers still get their
// addresses, but never that of a leaving node.
func TestSuspectsArePickedOnlyWithoutLiveVMs(t *testing.T) {
	is := is.New(t)
	entries := []Member{entry(0, 1, Suspect), entry(1, 1, Leaving), entry(2, 1, Suspect)}
	picked := pickAddresses(entries, "c", 4)
	slices.Sort(picked)
	is.Equal(picked, []string{"addr0", "addr2"})
	is.Equal(pickAddresses([]Member{entry(0, 1, Leaving)}, "c", 4), []string{})
}

func firstChoices(entries []Member, callers int) map[string]int {
	counts := map[string]int{}
	for i := range callers {
		counts[pickAddresses(entries, fmt.Sprint("caller", i), 4)[0]]++
	}
	return counts
}

func TestCallersSpreadByFreeCapacity(t *testing.T) {
	is := is.New(t)
	const callers = 8000
	var entries []Member
	for i := range 8 {
		entries = append(entries, entry(i, 4, Live))
	}
	even := firstChoices(entries, callers)
	for _, m := range entries {
		is.True(even[m.Addr] > callers/10 && even[m.Addr] < callers*3/20) // about an eighth
	}
	entries[0].Load = 0.75
	loaded := firstChoices(entries, callers)
	is.True(loaded["addr0"] < even["addr0"]/2) // a quarter of the capacity is free
	is.True(loaded["addr0"] > 0)
}

func TestLeavingVMMovesOnlyItsOwnCallers(t *testing.T) {
	is := is.New(t)
	var entries []Member
	for i := range 8 {
		entries = append(entries, entry(i, 4, Live))
	}
	afterLeave := slices.Clone(entries)
	afterLeave[3].State = Leaving
	for i := range 1000 {
		caller := fmt.Sprint("caller", i)
		before := pickAddresses(entries, caller, 4)
		after := pickAddresses(afterLeave, caller, 4)
		is.True(before[0] == "addr3" || before[0] == after[0]) // the first choice does not change
	}
}

func BenchmarkAddresses(b *testing.B) {
	for _, n := range []int{8, 1600} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var entries []Member
			for i := range n {
				entries = append(entries, entry(i, 38, Live))
			}
			for b.Loop() {
				pickAddresses(entries, "caller", 4)
			}
		})
	}
}
