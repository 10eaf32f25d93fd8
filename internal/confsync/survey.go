package confsync

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/platform"
)

// survey is one round of status requests to peers.
type survey struct {
	purpose  purpose
	voting   bool
	sent     time.Duration
	deadline time.Duration
	// pending are the calls without a response yet.
	pending map[Token]platform.VM
	// nodes are the statuses received, by ID.
	nodes map[string]timedStatus
	// confirmRequests and domainRequests are the requests that this round answers.
	confirmRequests []ConfirmRequested
	domainRequests  []domainRequest
}

// purpose is the purpose of a survey.
type purpose uint8

const (
	// forOutage collects votes on an outage of the table.
	forOutage purpose = iota
	// forConfirm collects the confirmations of a revision.
	forConfirm
	// forDomain collects the statuses of this failure domain for a peer.
	forDomain
)

// timedStatus is a node's status with an instant that is not later than that of the status.
type timedStatus struct {
	NodeStatus
	at time.Duration
}

// domainRequest is a peer's request for the statuses of this failure domain.
type domainRequest struct {
	token    Token
	received time.Duration
}

// addStatus records a node's status unless a more recent one is known.
func (s *survey) addStatus(n NodeStatus, at time.Duration) {
	if old, ok := s.nodes[n.ID]; ok && old.at >= at {
		return
	}
	s.nodes[n.ID] = timedStatus{NodeStatus: n, at: at}
}

// highestRevision returns the highest revision among the statuses.
func (s *survey) highestRevision() uint64 {
	var highest uint64
	for _, n := range s.nodes {
		highest = max(highest, n.Revision)
	}
	return highest
}

// fewest returns the smallest number of entry nodes that any node has known recently,
// starting from electors. The nodes are asked because a restarted node has no history.
func (s *survey) fewest(electors int) int {
	for _, n := range s.nodes {
		if n.Fewest > 0 {
			electors = min(electors, n.Fewest)
		}
	}
	return electors
}

// statuses returns the statuses received, with ages relative to an instant.
func (s *survey) statuses(received time.Duration) []NodeStatus {
	list := make([]NodeStatus, 0, len(s.nodes))
	for _, n := range s.nodes {
		n.Age = received - n.at
		list = append(list, n.NodeStatus)
	}
	return list
}
