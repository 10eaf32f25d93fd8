package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/platform"
	"github.com/hickorybank/hickorybank/internal/upstream"
)

var epoch = time.Unix(1_700_000_000, 0)

func engines(n int) []platform.VM {
	vms := make([]platform.VM, n)
	for i := range vms {
		vms[i] = platform.VM{
			ID:            fmt.Sprintf("eng-%d", i),
			Role:          platform.RoleEngine,
			Addr:          fmt.Sprintf("127.0.0.1:%d", 1000+i),
			FailureDomain: fmt.Sprintf("domain-%d", i%4),
			State:         platform.Live,
		}
	}
	return vms
}

func loadOf(limit int, versions ...string) upstream.LoadReport {
	return upstream.LoadReport{Limit: limit, Versions: versions}
}

func reportAll(b *Balancer, vms []platform.VM, now time.Time, versions ...string) {
	for _, vm := range vms {
		b.Report(vm.ID, upstream.LoadReport{Limit: 8, Versions: versions}, now)
	}
}

func TestPickCountsInFlight(t *testing.T) {
	is := is.New(t)
	b := New(Settings{SelfDomain: "domain-0"})
	vms := engines(4)
	b.SetMembers(vms, NodeRank{Count: 1}, epoch)
	reportAll(b, vms, epoch, "v@1")

	pick, ok := b.Pick(Request{Version: "v@1", Now: epoch, Random: 7})
	is.True(ok)
	is.Equal(inFlight(b, pick.VM.ID), 1)
	b.Done(pick.Token, Result{}, epoch)
	is.Equal(inFlight(b, pick.VM.ID), 0)
	b.Done(pick.Token, Result{}, epoch)
	is.Equal(inFlight(b, pick.VM.ID), 0) // a second Done does nothing
}

func inFlight(b *Balancer, id string) int {
	for _, s := range b.Status(epoch) {
		if s.VM.ID == id {
			return s.InFlight
		}
	}
	return -1
}
