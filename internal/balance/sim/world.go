package sim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/hickorybank/hickorybank/internal/balance"
	"github.com/hickorybank/hickorybank/internal/platform"
)

// world is the state of one run.
type world struct {
	scheduler
	cfg       Config
	startTime time.Time
	random    *rand.Rand
	nodes     []*node
	servers   []*server
	engines   []*server
	byID      map[string]*server
	versions  []string
	jobCount  uint64
	result    *Result
	meanCost  float64
}

func newWorld(cfg Config) (*world, error) {
	w := &world{
		cfg: cfg, startTime: time.Unix(1_700_000_000, 0), byID: map[string]*server{},
		random: rand.New(rand.NewPCG(cfg.Seed, 11)), result: newResult(&cfg),
	}
	for _, c := range cfg.Deployment.Classes {
		if c.Version != "" {
			w.versions = append(w.versions, c.Version)
		}
	}
	if err := w.build(); err != nil {
		return nil, err
	}
	w.setMembers()
	return w, nil
}

func domainName(i int) string { return fmt.Sprintf("domain-%d", i) }

func orgName(i int) string { return fmt.Sprintf("org-%d", i) }

func (w *world) build() error {
	d := &w.cfg.Deployment
	for i := range d.Engines {
		vm := platform.VM{ID: fmt.Sprintf("engine-%d", i), Role: platform.RoleEngine, FailureDomain: domainName(i % d.Domains), State: platform.Live}
		s, err := newEngine(w, vm, i%d.Domains, w.cfg.Seed+uint64(i))
		if err != nil {
			return err
		}
		w.engines = append(w.engines, s)
		w.addServer(s)
	}
	for i := range d.Services {
		vm := platform.VM{ID: fmt.Sprintf("service-%d", i), Role: platform.RoleService, Service: w.serviceName(), FailureDomain: domainName(i % d.Domains), State: platform.Live}
		w.addServer(&server{w: w, vm: vm, domain: i % d.Domains, slots: d.Slots})
	}
	for i := range d.Nodes {
		vm := platform.VM{ID: fmt.Sprintf("entry-%d", i), Role: platform.RoleEntry, FailureDomain: domainName(i % d.Domains), State: platform.Live}
		w.nodes = append(w.nodes, newNode(w, vm, i%d.Domains))
	}
	return nil
}

func (w *world) serviceName() string {
	for _, c := range w.cfg.Deployment.Classes {
		if c.Service != "" {
			return c.Service
		}
	}
	return ""
}

func (w *world) addServer(s *server) {
	w.servers = append(w.servers, s)
	w.byID[s.vm.ID] = s
}

// setMembers passes the list of VMs to each node and starts its ticks.
func (w *world) setMembers() {
	var vms []platform.VM
	for _, s := range w.servers {
		vms = append(vms, s.vm)
	}
	for _, n := range w.nodes {
		vms = append(vms, n.vm)
	}
	for _, n := range w.nodes {
		n.balance.SetMembers(vms, balance.NodeRankOf(vms, n.vm.ID, n.vm.FailureDomain), w.time())
		w.after(time.Duration(w.random.Int64N(int64(tickInterval))), n.tick)
	}
}

func (w *world) time() time.Time { return w.startTime.Add(w.now) }

// localDelayDivisor divides the delay between failure domains to give the one within a
// domain.
const localDelayDivisor = 5

func (w *world) delay(a, b int) time.Duration {
	if a == b {
		return w.cfg.Deployment.DomainDelay / localDelayDivisor
	}
	return w.cfg.Deployment.DomainDelay
}

// sendReply delivers an upstream's reply to the node, unless the try has ended
// meanwhile.
func (w *world) sendReply(j *job, r reply) {
	tryIndex, n := j.tries, j.node
	w.after(w.delay(n.domain, j.server.domain), func() {
		if !j.ended && j.tries == tryIndex {
			n.handleReply(j, r)
		}
	})
}

// drawExponential draws an exponentially distributed duration with the given mean.
func (w *world) drawExponential(mean time.Duration) time.Duration {
	return time.Duration(w.random.ExpFloat64() * float64(mean))
}

// drawFactor draws a factor between 1/spread and spread, uniform on a logarithmic
// scale.
func (w *world) drawFactor(spread float64) float64 {
	if spread <= 1 {
		return 1
	}
	return math.Pow(spread, 2*w.random.Float64()-1)
}
