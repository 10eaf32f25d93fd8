package confsync

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/platform"
)

// survey is one round of questions to peers.
type survey struct {
	purpose purpose
	voting  bool
	sent    time.Duration
	until   time.Duration
	// open are the calls without an answer yet.
	open map[Token]platform.VM
	// nodes is what was heard, by id.
	nodes map[string]heardStatus
	// confirms and domains are the questions that this round answers.
	confirms []ConfirmAsked
	domains  []domainAsked
}

// purpose is what a survey is for.
type purpose uint8

const (
	// forOutage: is the table out of reach of more than half of the nodes?
	forOutage purpose = iota
	// forConfirm: who has a revision?
	forConfirm
	// forDomain: what do the nodes of this failure domain say?
	forDomain
)

// heardStatus is a node's word with an instant not later than it was given.
type heardStatus struct {
	NodeStatus
	at time.Duration
}

// domainAsked is a peer that asked for this whole failure domain.
type domainAsked struct {
	token    Token
	received time.Duration
}

func (s *survey) hear(n NodeStatus, at time.Duration) {
	if old, ok := s.nodes[n.ID]; ok && old.at >= at {
		return
	}
	s.nodes[n.ID] = heardStatus{NodeStatus: n, at: at}
}

// highest is the highest revision heard of.
func (s *survey) highest() uint64 {
	var highest uint64
	for _, n := range s.nodes {
		highest = max(highest, n.Revision)
	}
	return highest
}

// fewest is the least number of entry nodes that any node knew of late; a
// node that started just now does not know what others remember.
func (s *survey) fewest(electors int) int {
	for _, n := range s.nodes {
		if n.Fewest > 0 {
			electors = min(electors, n.Fewest)
		}
	}
	return electors
}

// statuses returns what was heard with ages before an instant.
func (s *survey) statuses(received time.Duration) []NodeStatus {
	list := make([]NodeStatus, 0, len(s.nodes))
	for _, n := range s.nodes {
		n.Age = received - n.at
		list = append(list, n.NodeStatus)
	}
	return list
}
