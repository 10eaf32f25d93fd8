package balance

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/platform"
	"github.com/hickorybank/hickorybank/internal/upstream"
)

const (
	batchNodes   = 3
	batchEngines = 4
	batchPlaces  = 8 // of an engine
	// batchAdmitted are the requests that admission lets in, a little more
	// than there are places.
	batchAdmitted = 34
	batchLag      = 500 * time.Millisecond // by which reports are late
	batchStep     = 5 * time.Millisecond
)

// batchFleet is nodes that share engines with places and queues. For each
// request that ends, its node begins another.
type batchFleet struct {
	rng     *rand.Rand
	now     time.Duration
	hold    time.Duration // that a request takes in a place
	nodes   []*Balancer
	engines []*batchEngine
	// idle and busy are places over time, from restart on; idle counts only
	// while a request waits for a place of another engine.
	idle, busy int
}

type batchEngine struct {
	id      string
	running []*batchJob
	queue   []*batchJob
	foreign int                   // places that others than the nodes hold
	past    []upstream.LoadReport // one a step
}

type batchJob struct {
	node  *Balancer
	token Token
	begun time.Duration
	ends  time.Duration
}

func newBatchFleet(seed uint64, hold time.Duration, admitted int) *batchFleet {
	f := &batchFleet{rng: rand.New(rand.NewPCG(seed, 9)), hold: hold}
	var vms []platform.VM
	for i := range batchEngines {
		id := fmt.Sprintf("engine%d", i)
		f.engines = append(f.engines, &batchEngine{id: id})
		vms = append(vms, platform.VM{ID: id, Role: platform.RoleEngine, Addr: id, FailureDomain: "d", State: platform.Live})
	}
	for i := range batchNodes {
		b := New(Settings{Seed: uint64(i), SelfID: fmt.Sprint(i), SelfDomain: "d"})
		b.SetMembers(vms, Place{Index: i, Count: batchNodes}, epoch)
		for _, vm := range vms {
			b.Report(vm.ID, loadOf(batchPlaces, "v"), epoch)
		}
		f.nodes = append(f.nodes, b)
	}
	for i := range admitted {
		f.begin(f.nodes[i%batchNodes])
	}
	return f
}

func (f *batchFleet) time() time.Time { return epoch.Add(f.now) }

func (f *batchFleet) restart() { f.idle, f.busy = 0, 0 }

// idleShare is the part of all places that was idle beside a queue.
func (f *batchFleet) idleShare() float64 { return float64(f.idle) / float64(f.idle+f.busy) }

func (f *batchFleet) pass(span time.Duration) {
	for end := f.now + span; f.now < end; f.now += batchStep {
		for _, e := range f.engines {
			f.finish(e)
		}
		for _, e := range f.engines {
			f.start(e)
		}
		f.count()
		f.poll()
	}
}

func (f *batchFleet) finish(e *batchEngine) {
	var done []*batchJob
	e.running = slices.DeleteFunc(e.running, func(j *batchJob) bool {
		if j.ends <= f.now {
			done = append(done, j)
		}
		return j.ends <= f.now
	})
	for _, j := range done {
		took := f.now - j.begun
		j.node.Done(j.token, Result{FirstToken: took / 10, Latency: took, Tokens: 20}, f.time())
		f.begin(j.node)
	}
}

func (f *batchFleet) begin(b *Balancer) {
	p, ok := b.Pick(Request{Version: "v", Now: f.time(), Random: f.rng.Uint64()})
	if !ok {
		panic("a healthy engine must be found")
	}
	i := slices.IndexFunc(f.engines, func(e *batchEngine) bool { return e.id == p.VM.ID })
	f.engines[i].queue = append(f.engines[i].queue, &batchJob{node: b, token: p.Token, begun: f.now})
}

// start gives free places to what waits; a request takes 0.7 to 1.3 of hold.
func (f *batchFleet) start(e *batchEngine) {
	for len(e.queue) > 0 && len(e.running)+e.foreign < batchPlaces {
		j := e.queue[0]
		e.queue = e.queue[1:]
		j.ends = f.now + time.Duration((0.7+0.6*f.rng.Float64())*float64(f.hold))
		e.running = append(e.running, j)
	}
}

func (f *batchFleet) count() {
	waits, free := 0, 0
	for _, e := range f.engines {
		waits += len(e.queue)
		free += max(0, batchPlaces-len(e.running)-e.foreign)
		e.past = append(e.past, upstream.LoadReport{
			Running: len(e.running) + e.foreign, Queued: len(e.queue), Limit: batchPlaces,
			Versions: []string{"v"}, AgeMillis: batchLag.Milliseconds(),
		})
	}
	f.busy += batchEngines*batchPlaces - free
	if waits > 0 {
		f.idle += free
	}
}

func (f *batchFleet) poll() {
	late := int(f.now/batchStep) - int(batchLag/batchStep)
	if late < 0 {
		return
	}
	for _, b := range f.nodes {
		for _, vm := range b.NeedPoll(f.time()) {
			i := slices.IndexFunc(f.engines, func(e *batchEngine) bool { return e.id == vm.ID })
			b.Report(vm.ID, f.engines[i].past[late], f.time())
		}
	}
}

// Requests of 95 ms come faster than four engines can take them. Callers wait
// at three engines while the fourth has free places, for a second at a time:
// each node takes one late report for the engine's load until the next one
// comes, though many requests have begun and ended since.
func TestShortRequestsLeaveFewPlacesIdle(t *testing.T) {
	is := is.New(t)
	var sum, worst float64
	const runs = 4
	for seed := range uint64(runs) {
		f := newBatchFleet(seed, 95*time.Millisecond, batchAdmitted)
		f.pass(10 * time.Second)
		f.restart()
		f.pass(20 * time.Second)
		sum += f.idleShare()
		worst = max(worst, f.idleShare())
	}
	t.Logf("idle beside a queue: %.3f of the places on the mean, %.3f in the worst run", sum/runs, worst)
	is.True(sum/runs < 0.06)
	is.True(worst < 0.08)
}

// Requests of 10 s, and others than the nodes fill an engine: now this one, now
// the next. Callers wait there while places are free elsewhere when a node goes
// by what it heard before: with long requests the newest report says all.
func TestLongRequestsFollowTheNewestReport(t *testing.T) {
	is := is.New(t)
	var sum float64
	const runs = 4
	for seed := range uint64(runs) {
		f := newBatchFleet(seed, 10*time.Second, batchAdmitted-batchPlaces)
		f.pass(30 * time.Second)
		f.restart()
		for i := range 3 * batchEngines {
			f.engines[i%batchEngines].foreign = batchPlaces
			f.pass(20 * time.Second)
			f.engines[i%batchEngines].foreign = 0
		}
		sum += f.idleShare()
	}
	t.Logf("idle beside a queue: %.3f of the places on the mean", sum/runs)
	is.True(sum/runs < 0.085)
}
