package node

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/standin/engine/host"
	"github.com/hickorybank/hickorybank/internal/standin/service"
)

// newNoticeFleet starts entry nodes and two service VMs. change configures the faults of the
// first one, which sends notices about itself.
func newNoticeFleet(t *testing.T, nodes int, change func(f *service.Faults)) *fleet {
	f := newFleet(t, fleetSize{nodes: nodes, engines: 1, services: 2, tokens: 2})
	err := f.services[0].ChangeFaults(func(faults *service.Faults) error {
		change(faults)
		return nil
	})
	is.New(t).NoErr(err)
	return f
}

// settleAll sends calls to all nodes in turn for the given time.
func (f *fleet) settleAll(length time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	for k := 0; ctx.Err() == nil; k++ {
		n := f.nodes[k%len(f.nodes)]
		if _, err := f.settle(n, fmt.Sprintf("k%d", k), "text"); err != nil {
			f.t.Error(err)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// Fails if nodes keep sending half of all calls to a service VM that has announced a rate
// limit.
func TestServiceWithAnnouncedRateLimitGetsNoMoreCalls(t *testing.T) {
	const perSecond, window = 1.0, 4
	f := newNoticeFleet(t, 2, func(faults *service.Faults) { faults.Said = host.Said{RateLimit: perSecond} })
	f.settleAll(time.Second) // each node receives the limit
	before := f.services[0].Counts().Started
	began := time.Now()
	f.settleAll(window * time.Second)
	seconds := time.Since(began).Seconds()
	if got, most := f.services[0].Counts().Started-before, 1.5*perSecond*seconds+5; float64(got) > most {
		t.Errorf("service VM got %d calls in %.1f s, at most %.0f expected", got, seconds, most)
	}
}

// A service VM that has announced a pause to the node gets no calls.
func TestServiceWithAnnouncedPauseGetsNoCalls(t *testing.T) {
	f := newNoticeFleet(t, 1, func(faults *service.Faults) { faults.Said = host.Said{RestMillis: 60_000} })
	f.settleAll(time.Second)
	f.await("the node has been turned away", func() bool {
		if _, err := f.settle(f.nodes[0], fmt.Sprint("until", time.Now().UnixNano()), "text"); err != nil {
			t.Error(err)
		}
		return f.services[0].Counts().Declined > 0
	})
	before := f.services[0].Counts().Declined
	f.settleAll(time.Second)
	if late := f.services[0].Counts().Declined - before; late > 0 {
		t.Errorf("service VM got %d calls during the pause that it announced", late)
	}
}
