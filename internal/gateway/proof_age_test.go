package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/gossip"
)

// Operators withdraw keys while the table turns a third of the nodes away, the reader
// among them. Nobody reads in its place for as long as it lasts, and for nine seconds most
// nodes serve the withdrawn keys: hundreds of nodes tell each other how old their knowledge
// of the table is, each time without the milliseconds that the word was on its way, so that
// at the next node it is a little younger, and never grows old.
func TestProofDoesNotStayFreshByTravelling(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a, b := newGroupNode(false), newGroupNode(true)
		b.mu.Lock()
		b.list.revision = 7
		b.listProven(time.Now(), 1000)
		b.mu.Unlock()
		const onItsWay = 5 * time.Millisecond
		began := time.Now()
		for time.Since(began) < 10*time.Second {
			for _, way := range [][2]*Node{{b, a}, {a, b}} {
				told := way[0].message(gossip.Member{ID: way[1].settings.ID})
				time.Sleep(onItsWay)
				way[1].take(told)
			}
		}
		for _, n := range []*Node{a, b} {
			n.mu.Lock()
			is.True(time.Since(n.list.provenAt) >= 10*time.Second-onItsWay)
			n.mu.Unlock()
		}
	})
}
