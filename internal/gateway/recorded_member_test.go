package gateway

import (
	"errors"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/gossip"
)

// Fails if a record of a live member with another address makes the member count as dead.
func TestOddRecordOfMemberDoesNotEndIt(t *testing.T) {
	is := is.New(t)
	n := newGroupNode(false)
	n.recordedMembers = []gossip.Member{{ID: "n1", Born: math.MaxInt64, Peer: "127.0.0.1:99999"}, {ID: "n1", Peer: "here"}}
	for range 20 {
		m, ok := n.unknownPeer(time.Now())
		is.True(ok)
		n.notePeerFailure(m, errors.New("dial"))
	}
	_, alive := n.roster.Get("n1")
	is.True(alive)
}
