package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/gossip"
)

// Stopped nodes lose their share; otherwise half of a rate stays unused for an hour after
// VMs were replaced one by one. A node that is cut off or restarts keeps its share.
func TestStoppedNodesLoseTheirShareOfARate(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	s := senderSet{lastSeen: map[string]time.Time{}}
	stays := gossip.Member{ID: "stays"}
	see := func(after time.Duration, members ...gossip.Member) []string {
		s.add(append(members, stays), start.Add(after))
		return s.settled(start.Add(after))
	}
	see(0, gossip.Member{ID: "stops"}, gossip.Member{ID: "lost"}, gossip.Member{ID: "restarts"})
	stopped := gossip.Member{ID: "stops", Leaving: true, Dead: true}
	lost := gossip.Member{ID: "lost", Dead: true}
	is.Equal(see(10*time.Second, stopped, lost, gossip.Member{ID: "restarts", Leaving: true, Dead: true}), []string{"lost", "restarts", "stays", "stops"})
	is.Equal(see(40*time.Second, stopped, lost, gossip.Member{ID: "restarts"}), []string{"lost", "restarts", "stays"})
	is.Equal(see(senderRetention-time.Second, gossip.Member{ID: "restarts"}), []string{"lost", "restarts", "stays"})
	is.Equal(see(senderRetention+time.Minute, gossip.Member{ID: "restarts"}), []string{"restarts", "stays"})
}
