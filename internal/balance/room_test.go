package balance

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/platform"
	"github.com/hickorybank/hickorybank/internal/upstream"
)

const (
	roomNodes   = 12
	roomEngines = 18
	roomLimit   = 16
	roomHold    = 10 * time.Second // that a request takes
	roomLag     = time.Second      // by which reports are late
)

// roomFleet is nodes that share engines, of which only the first has the
// version "new"; all have "old".
type roomFleet struct {
	rng     *rand.Rand
	now     time.Duration
	nodes   []*Balancer
	work    map[string]int
	reports map[string]upstream.LoadReport // as they were a lag ago
	running running
	most    int // at the first engine
	spent   int // on it, summed over the samples
	samples int
}

type run struct {
	ends  time.Duration
	node  *Balancer
	vm    string
	token Token
}

type running []run

func (r running) Len() int           { return len(r) }
func (r running) Less(i, j int) bool { return r[i].ends < r[j].ends }
func (r running) Swap(i, j int)      { r[i], r[j] = r[j], r[i] }
func (r *running) Push(x any)        { *r = append(*r, x.(run)) }
func (r *running) Pop() any {
	old := *r
	last := old[len(old)-1]
	*r = old[:len(old)-1]
	return last
}

func newRoomFleet() *roomFleet {
	f := &roomFleet{rng: rand.New(rand.NewPCG(3, 4)), work: map[string]int{}, reports: map[string]upstream.LoadReport{}}
	var vms []platform.VM
	for i := range roomEngines {
		id := fmt.Sprintf("engine%d", i)
		vms = append(vms, platform.VM{ID: id, Role: platform.RoleEngine, Addr: id, FailureDomain: "d", State: platform.Live})
	}
	for i := range roomNodes {
		b := New(Settings{Seed: uint64(i), SelfID: fmt.Sprint(i), SelfDomain: "d"})
		b.SetMembers(vms, Place{Index: i, Count: roomNodes}, epoch)
		f.nodes = append(f.nodes, b)
	}
	return f
}

// pass lets requests come so often that so many run at a time, and says what
// part of them found the new version's engine.
func (f *roomFleet) pass(span time.Duration, atATime float64) float64 {
	const step = 50 * time.Millisecond
	f.most, f.spent, f.samples = 0, 0, 0
	var all, new int
	for end := f.now + span; f.now < end; f.now += step {
		f.finish()
		if f.now%roomLag == 0 {
			f.report()
		}
		f.poll()
		for due := atATime * float64(step) / float64(roomHold); due > f.rng.Float64(); due-- {
			all++
			if f.begin(f.nodes[f.rng.IntN(roomNodes)]) {
				new++
			}
		}
		f.most = max(f.most, f.work["engine0"])
		f.spent += f.work["engine0"]
		f.samples++
	}
	return float64(new) / float64(all)
}

func (f *roomFleet) time() time.Time { return epoch.Add(f.now) }

func (f *roomFleet) finish() {
	for len(f.running) > 0 && f.running[0].ends <= f.now {
		r := heap.Pop(&f.running).(run)
		f.work[r.vm]--
		r.node.Done(r.token, Result{FirstToken: time.Second, Latency: roomHold, Tokens: 100}, f.time())
	}
}

func (f *roomFleet) report() {
	for i := range roomEngines {
		id := fmt.Sprintf("engine%d", i)
		r := upstream.LoadReport{Running: min(f.work[id], roomLimit), Queued: max(0, f.work[id]-roomLimit), Limit: roomLimit, Versions: []string{"old"}}
		if i == 0 {
			r.Versions = []string{"new", "old"}
		}
		f.reports[id] = r
	}
}

func (f *roomFleet) poll() {
	for _, b := range f.nodes {
		for _, vm := range b.NeedPoll(f.time()) {
			b.Report(vm.ID, f.reports[vm.ID], f.time())
		}
	}
}

// begin runs a request, on the new version if there is room.
func (f *roomFleet) begin(b *Balancer) bool {
	version := "old"
	if f.rng.Float64() < b.Room("new", f.time()).Share {
		version = "new"
	}
	p, ok := b.Pick(Request{Version: version, Now: f.time(), Random: f.rng.Uint64()})
	if !ok {
		return false
	}
	f.work[p.VM.ID]++
	heap.Push(&f.running, run{ends: f.now + roomHold, node: b, vm: p.VM.ID, token: p.Token})
	return version == "new"
}

// A new version is on one engine of eighteen, and the cheapest. Its callers
// wait behind each other while seventeen engines have free places: all nodes
// send it all their work, and all hear late that it is full.
func TestVersionOnOneEngineGetsWhatItHasRoomFor(t *testing.T) {
	is := is.New(t)
	f := newRoomFleet()
	f.pass(30*time.Second, 8)
	share := f.pass(time.Minute, 8)
	t.Logf("8 at a time: share %.3f", share)
	is.True(share > 0.95) // all that there is fits into the engine
	f.pass(30*time.Second, 170)
	share = f.pass(5*time.Minute, 170)
	mean := float64(f.spent) / float64(f.samples)
	t.Logf("170 at a time: share %.3f, at the engine %.1f, at most %d", share, mean, f.most)
	is.True(f.most <= 2*roomLimit)
	is.True(mean > roomLimit/2) // and it is used
	share = f.pass(5*time.Minute, 400)
	mean = float64(f.spent) / float64(f.samples)
	t.Logf("400 at a time: share %.3f, at the engine %.1f, at most %d", share, mean, f.most)
	is.True(f.most <= 400/roomEngines*2)
}
