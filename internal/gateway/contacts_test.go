package gateway

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/gossip"
)

// someMembers are nodes of four failure domains, without one.
func someMembers(count int, but string) (all []gossip.Member) {
	for i := range count {
		if m := (gossip.Member{ID: fmt.Sprint(i), Domain: fmt.Sprint(i % 4)}); m.ID != but {
			all = append(all, m)
		}
	}
	return all
}

func inFirstDomain(m gossip.Member) bool { return m.Domain == "0" }

// metIn are the peers that some rounds of news were exchanged with.
func metIn(c contacts, rounds int, live func() []gossip.Member) map[string]bool {
	met := map[string]bool{}
	for range rounds {
		if m, ok := c.pick(live(), inFirstDomain); ok {
			met[m.ID] = true
		}
	}
	return met
}

// A node among many exchanges news with few in a minute, so that their connections are
// used again; a contact that is lost is replaced at once.
func TestContactsAreFew(t *testing.T) {
	is := is.New(t)
	c := contacts{}
	is.True(len(metIn(c, 100, func() []gossip.Member { return someMembers(60, "") })) <= 3*(nearContacts+farContacts))
	is.Equal(len(c), nearContacts+farContacts)
	for lost := range c {
		is.True(!metIn(c, 100, func() []gossip.Member { return someMembers(60, lost) })[lost])
		break
	}
	_, ok := c.pick(nil, inFirstDomain)
	is.True(!ok)
	m, ok := c.pick([]gossip.Member{{ID: "far", Domain: "9"}}, inFirstDomain)
	is.True(ok && m.ID == "far")
}

// No part of the nodes keeps to itself: in time a node meets all.
func TestContactsChange(t *testing.T) {
	is := is.New(t)
	met := metIn(contacts{}, 20_000, func() []gossip.Member { return someMembers(20, "") })
	is.Equal(len(met), 20)
}
