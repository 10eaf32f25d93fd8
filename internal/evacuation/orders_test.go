package evacuation

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/hickorybank/hickorybank/internal/revision"
)

// An order stays ended when its begin arrives after its end. Otherwise the late begin
// would start the evacuation again.
func TestLateBeginDoesNotUndoEnd(t *testing.T) {
	is := is.New(t)
	s := New()
	is.True(s.Apply(Order{Domain: "a", Revision: 5}))
	is.True(s.Apply(Order{Domain: "a", Revision: 9, Ended: true}))
	is.True(!s.Apply(Order{Domain: "a", Revision: 5}))
	is.True(!s.Active("a"))
	is.True(s.Apply(Order{Domain: "a", Revision: 12}))
	is.True(s.Active("a"))
}

// An order ends although its deleted row still carries the revision of its last write.
func TestEndWinsAtEqualRevision(t *testing.T) {
	is := is.New(t)
	s := New()
	is.True(s.Apply(Order{Domain: "a", Revision: 5}))
	is.True(s.Apply(Order{Domain: "a", Revision: 5, Ended: true}))
	is.True(!s.Apply(Order{Domain: "a", Revision: 5}))
	is.True(!s.Active("a"))
}

// A full read ends an order whose end was missed during an outage; otherwise the order
// would stay active.
func TestFullReadEndsUnlistedOrders(t *testing.T) {
	is := is.New(t)
	s := New()
	s.Apply(Order{Domain: "a", Revision: 5})
	s.Apply(Order{Domain: "b", Revision: 6})
	s.Apply(Order{Domain: "c", Revision: 20}) // a peer has read a later revision
	ended := s.EndUnlisted([]Order{{Domain: "b", Revision: 6}}, 12)
	is.Equal(ended, []Order{{Domain: "a", Revision: 12, Ended: true}})
	is.True(s.Active("b"))
	is.True(s.Active("c"))
}

// An order with an empty domain name has no effect.
func TestOrderWithoutDomainIsIgnored(t *testing.T) {
	is := is.New(t)
	s := New()
	is.True(!s.Apply(Order{Revision: 5}))
	is.Equal(len(s.All()), 0)
}

// Nodes must reach the same state after they received the same changes in different
// orders, some of them repeatedly or through each other.
func TestNodesConvergeForAnyOrderOfUpdates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var history []Order
		active := map[string]bool{}
		for i := range rapid.IntRange(1, 30).Draw(t, "changes") {
			domain := fmt.Sprintf("d%d", rapid.IntRange(0, 3).Draw(t, "domain"))
			history = append(history, Order{Domain: domain, Revision: revision.Revision(i + 1), Ended: active[domain]})
			active[domain] = !active[domain]
		}
		nodes := []*Orders{New(), New(), New()}
		for range rapid.IntRange(0, 60).Draw(t, "updates") {
			to := rapid.SampledFrom(nodes).Draw(t, "to")
			if rapid.Bool().Draw(t, "from a peer") {
				for _, o := range rapid.SampledFrom(nodes).Draw(t, "from").All() {
					to.Apply(o)
				}
				continue
			}
			to.Apply(rapid.SampledFrom(history).Draw(t, "change"))
		}
		for _, n := range nodes {
			for _, i := range rapid.Permutation(indices(len(history))).Draw(t, "remaining") {
				n.Apply(history[i])
			}
			for domain, want := range active {
				if n.Active(domain) != want {
					t.Fatalf("domain %s: active is %t, want %t", domain, n.Active(domain), want)
				}
			}
			if !slices.Equal(n.All(), nodes[0].All()) {
				t.Fatalf("nodes differ after the same changes: %v and %v", n.All(), nodes[0].All())
			}
		}
	})
}

func indices(n int) []int {
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	return all
}
