package gateway

import (
	"testing"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/gossip"
)

// Fails if a reading is lost because another node has become the leader while it
// was made.
func TestReaderInformsThoseItHasReadFor(t *testing.T) {
	is := is.New(t)
	group, leaders := []gossip.Member{{ID: "n0"}, {ID: "n1"}}, []gossip.Member{{ID: "n1"}, {ID: "m1"}}
	reader := audience{group: group, leaders: leaders, leads: true, reads: true}
	member := audience{group: group}
	is.Equal(reader.atEnd(member), audience{group: group, leaders: leaders, leads: true, reads: true})
	is.Equal(reader.atEnd(reader), reader)
	is.Equal(member.atEnd(member), member)
	is.Equal(member.atEnd(reader), reader)
}
