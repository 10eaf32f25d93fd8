package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/gossip"
)

// membersExcept returns count members in four failure domains, without the excluded ID.
func membersExcept(count int, excluded string) (all []gossip.Member) {
	for i := range count {
		if m := (gossip.Member{ID: fmt.Sprint(i), Domain: fmt.Sprint(i % 4)}); m.ID != excluded {
			all = append(all, m)
		}
	}
	return all
}

// rosterOf returns the roster of a node in another domain that knows the members.
func rosterOf(members []gossip.Member) *gossip.Roster {
	r := gossip.NewRoster(gossip.Member{ID: "self", Domain: "self"})
	r.Merge(members, time.Now())
	return r
}

func inFirstDomain(m gossip.Member) bool { return m.Domain == "0" }

// peersPicked returns the IDs of the peers that were picked in a number of rounds.
func peersPicked(c contacts, rounds int, live func() []gossip.Member) map[string]bool {
	met := map[string]bool{}
	random := newDraws(1)
	for range rounds {
		if m, ok := c.pick(random, rosterOf(live()), inFirstDomain); ok {
			met[m.ID] = true
		}
	}
	return met
}

// Fails if each gossip round opens a new connection. A node among many must use few
// contacts, so that connections are reused, and must replace a lost contact at once.
func TestContactsAreFewAndReplacedWhenLost(t *testing.T) {
	is := is.New(t)
	c := contacts{}
	is.True(len(peersPicked(c, 100, func() []gossip.Member { return membersExcept(60, "") })) <= 3*(nearContacts+farContacts))
	is.Equal(len(c), nearContacts+farContacts)
	for lost := range c {
		is.True(!peersPicked(c, 100, func() []gossip.Member { return membersExcept(60, lost) })[lost])
		break
	}
	_, ok := c.pick(newDraws(1), rosterOf(nil), inFirstDomain)
	is.True(!ok)
	m, ok := c.pick(newDraws(1), rosterOf([]gossip.Member{{ID: "far", Domain: "9"}}), inFirstDomain)
	is.True(ok && m.ID == "far")
}

// Parts of the deployment that keep the same contacts may only gossip among themselves.
// Contacts must change, so that a node picks every peer in time.
func TestContactsReachAllPeersInTime(t *testing.T) {
	is := is.New(t)
	met := peersPicked(contacts{}, 20_000, func() []gossip.Member { return membersExcept(20, "") })
	is.Equal(len(met), 20)
}
