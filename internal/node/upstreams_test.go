package node

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/balance"
	"github.com/hickorybank/hickorybank/internal/platform"
)

// Fails if a request waits for an upstream that answers no polls as long as for one that is
// busy: frozen upstreams then cost it 45 s each.
func TestResumptionAtUnreachableUpstreamIsShort(t *testing.T) {
	is := is.New(t)
	u := newUpstreams(&Node{settings: Settings{ID: "e1"}})
	vm := platform.VM{ID: "g1", Role: platform.RoleEngine, Addr: "x:1", State: platform.Live}
	now := time.Now()
	u.balancer.SetMembers([]platform.VM{vm}, balance.NodeRank{}, now)
	waiting := &activeAttempt{vm: vm}
	is.Equal(u.resumeTimeout(waiting), firstChunkTimeout) // it may be busy
	for range 3 {
		u.balancer.PollFailed(vm.ID, now)
	}
	is.Equal(u.resumeTimeout(waiting), unreachableTimeout)
	is.Equal(u.resumeTimeout(&activeAttempt{vm: vm, chunks: 1}), firstChunkTimeout)     // its work would be lost
	is.Equal(u.resumeTimeout(&activeAttempt{vm: vm, adopted: true}), firstChunkTimeout) // its caller has a part of the answer
}
