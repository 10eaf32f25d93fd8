package gossip

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// compare has two rosters exchange what differs, as two nodes do.
func compare(a, b *Roster, now time.Time) (told int) {
	fromA := a.Differing(b.Digest(), now)
	asked := a.Digest()
	b.Merge(fromA, now)
	fromB := b.Differing(asked, now)
	a.Merge(fromB, now)
	return len(fromA) + len(fromB)
}

// A deployment of three hundred nodes is being restarted, one after the other: whenever
// two nodes met, one of them had not heard of the last start, and both told each other
// of all three hundred. They tell of the part of the roster that differs.
func TestOneChangeCostsAPartOfTheRoster(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	a, b := NewRoster(member("a", 1)), NewRoster(member("b", 1))
	var all []Member
	for i := range 300 {
		all = append(all, member(fmt.Sprintf("m%d", i), 1))
	}
	a.Merge(all, now)
	compare(a, b, now)
	is.Equal(a.Hash(), b.Hash())
	a.Merge([]Member{member("m7", 2)}, now)
	is.True(a.Hash() != b.Hash())
	told := compare(a, b, now)
	is.True(told <= 20)
	is.True(b.Lives("m7", 2))
	is.Equal(a.Hash(), b.Hash())
}

// A member dies. A node that starts afterwards never hears of it, and knows the same as
// the others all the same: it told and was told of all members until they had forgotten
// the dead one.
func TestTheDeadDoNotKeepRostersApart(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	a, fresh := NewRoster(member("a", 1)), NewRoster(member("f", 1))
	a.Merge([]Member{member("c", 1)}, now)
	a.Unreached("c", now)
	a.Unreached("c", now)
	compare(a, fresh, now)
	is.Equal(a.Hash(), fresh.Hash())
}

// Whatever happened, two nodes that have compared their rosters know the same.
func TestComparedRostersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		rosters := []*Roster{NewRoster(member("n0", 1)), NewRoster(member("n1", 1)), NewRoster(member("n2", 1))}
		which := rapid.IntRange(0, 2)
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			r, other := rosters[which.Draw(t, "a")], rosters[which.Draw(t, "b")]
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				r.SetSelf(rapid.Bool().Draw(t, "ready"), false)
			case 1:
				r.Unreached(other.Self().ID, now)
			case 2:
				r.Merge([]Member{member(fmt.Sprintf("m%d", rapid.IntRange(0, 200).Draw(t, "member")), rapid.Int64Range(1, 3).Draw(t, "born"))}, now)
			default:
				compare(r, other, now)
			}
		}
		a, b := rosters[0], rosters[1]
		for range 2 { // a mark of death is lifted by its subject, and that is told again
			compare(a, b, now)
		}
		if a.Hash() != b.Hash() {
			t.Fatalf("%v and %v", a.Known(now), b.Known(now))
		}
	})
}
