package gossip

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// syncRosters exchanges the differing members of two rosters, as two nodes do.
func syncRosters(a, b *Roster, now time.Time) (sent int) {
	fromA := a.Differing(b.Digest(), now)
	asked := a.Digest()
	b.Merge(fromA, now)
	fromB := b.Differing(asked, now)
	a.Merge(fromB, now)
	return len(fromA) + len(fromB)
}

// In a rolling restart of 300 nodes, one of two nodes has usually not received the latest
// start. In a full exchange both would send all 300 members. They must exchange only the
// bucket that differs.
func TestOneChangeTransfersOneBucket(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	a, b := NewRoster(member("a", 1)), NewRoster(member("b", 1))
	var all []Member
	for i := range 300 {
		all = append(all, member(fmt.Sprintf("m%d", i), 1))
	}
	a.Merge(all, now)
	syncRosters(a, b, now)
	is.Equal(a.Hash(), b.Hash())
	a.Merge([]Member{member("m7", 2)}, now)
	is.True(a.Hash() != b.Hash())
	sent := syncRosters(a, b, now)
	is.True(sent <= 20)
	is.True(b.IsAlive("m7", 2))
	is.Equal(a.Hash(), b.Hash())
}

// A node that starts after a member has died never learns of the dead member. Its hash
// must still equal that of the others, otherwise the exchanges are repeated.
func TestDeadMembersDoNotAffectHash(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	a, fresh := NewRoster(member("a", 1)), NewRoster(member("f", 1))
	a.Merge([]Member{member("c", 1)}, now)
	a.RecordMiss("c", now)
	a.RecordMiss("c", now)
	syncRosters(a, fresh, now)
	is.Equal(a.Hash(), fresh.Hash())
}

// Two nodes that have synced their rosters agree, whatever happened before.
func TestSyncedRostersAgree(t *testing.T) {
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
				r.RecordMiss(other.Self().ID, now)
			case 2:
				r.Merge([]Member{member(fmt.Sprintf("m%d", rapid.IntRange(0, 200).Draw(t, "member")), rapid.Int64Range(1, 3).Draw(t, "born"))}, now)
			default:
				syncRosters(r, other, now)
			}
		}
		a, b := rosters[0], rosters[1]
		for range 2 { // a member refutes its dead mark, and the refutation is sent back
			syncRosters(a, b, now)
		}
		if a.Hash() != b.Hash() {
			t.Fatalf("rosters differ after syncing: %v and %v", a.Known(now), b.Known(now))
		}
	})
}
