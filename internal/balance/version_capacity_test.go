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
	roomNodes       = 12
	roomEngines     = 18
	roomLimit       = 16
	roomServiceTime = 10 * time.Second // duration of a request
	roomReportLag   = time.Second      // delay of the reports
)

// roomFleet simulates nodes that share engines. All engines have the version "old", and
// only the first has "new".
type roomFleet struct {
	rng     *rand.Rand
	now     time.Duration
	nodes   []*Balancer
	load    map[string]int
	reports map[string]upstream.LoadReport // delayed by the lag
	running requestHeap
	maxLoad int // of the first engine
	loadSum int // of the first engine, summed over the samples
	samples int
}

type runningRequest struct {
	endsAt time.Duration
	node   *Balancer
	vm     string
	token  Token
}

type requestHeap []runningRequest

func (r requestHeap) Len() int           { return len(r) }
func (r requestHeap) Less(i, j int) bool { return r[i].endsAt < r[j].endsAt }
func (r requestHeap) Swap(i, j int)      { r[i], r[j] = r[j], r[i] }
func (r *requestHeap) Push(x any)        { *r = append(*r, x.(runningRequest)) }
func (r *requestHeap) Pop() any {
	old := *r
	last := old[len(old)-1]
	*r = old[:len(old)-1]
	return last
}

func newRoomFleet() *roomFleet {
	f := &roomFleet{rng: rand.New(rand.NewPCG(3, 4)), load: map[string]int{}, reports: map[string]upstream.LoadReport{}}
	var vms []platform.VM
	for i := range roomEngines {
		id := fmt.Sprintf("engine%d", i)
		vms = append(vms, platform.VM{ID: id, Role: platform.RoleEngine, Addr: id, FailureDomain: "d", State: platform.Live})
	}
	for i := range roomNodes {
		b := New(Settings{Seed: uint64(i), SelfID: fmt.Sprint(i), SelfDomain: "d"})
		b.SetMembers(vms, NodeRank{Index: i, Count: roomNodes}, epoch)
		f.nodes = append(f.nodes, b)
	}
	return f
}

// advance starts requests at the rate that keeps the given number in flight, and returns
// the fraction of them that ran on the new version's engine.
func (f *roomFleet) advance(span time.Duration, concurrency float64) float64 {
	const step = 50 * time.Millisecond
	f.maxLoad, f.loadSum, f.samples = 0, 0, 0
	var total, onNew int
	for end := f.now + span; f.now < end; f.now += step {
		f.finishDue()
		if f.now%roomReportLag == 0 {
			f.updateReports()
		}
		f.poll()
		for due := concurrency * float64(step) / float64(roomServiceTime); due > f.rng.Float64(); due-- {
			total++
			if f.startRequest(f.nodes[f.rng.IntN(roomNodes)]) {
				onNew++
			}
		}
		f.maxLoad = max(f.maxLoad, f.load["engine0"])
		f.loadSum += f.load["engine0"]
		f.samples++
	}
	return float64(onNew) / float64(total)
}

func (f *roomFleet) time() time.Time { return epoch.Add(f.now) }

func (f *roomFleet) finishDue() {
	for len(f.running) > 0 && f.running[0].endsAt <= f.now {
		r := heap.Pop(&f.running).(runningRequest)
		f.load[r.vm]--
		r.node.Done(r.token, Result{FirstToken: time.Second, Latency: roomServiceTime, Tokens: 100}, f.time())
	}
}

func (f *roomFleet) updateReports() {
	for i := range roomEngines {
		id := fmt.Sprintf("engine%d", i)
		r := upstream.LoadReport{Running: min(f.load[id], roomLimit), Queued: max(0, f.load[id]-roomLimit), Limit: roomLimit, Versions: []string{"old"}}
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

// startRequest starts a request, on the new version if there is room.
func (f *roomFleet) startRequest(b *Balancer) bool {
	version := "old"
	if f.rng.Float64() < b.VersionCapacity("new", f.time()).Share {
		version = "new"
	}
	p, ok := b.Pick(Request{Version: version, Now: f.time(), Random: f.rng.Uint64()})
	if !ok {
		return false
	}
	f.load[p.VM.ID]++
	heap.Push(&f.running, runningRequest{endsAt: f.now + roomServiceTime, node: b, vm: p.VM.ID, token: p.Token})
	return version == "new"
}

// Fails if requests queue at one engine while seventeen others have free slots. A new
// version is on one engine of eighteen and is the cheapest. All nodes send it all their
// work, and delayed reports show too late that it is full.
func TestVersionOnOneEngineIsNotOverloaded(t *testing.T) {
	is := is.New(t)
	f := newRoomFleet()
	f.advance(30*time.Second, 8)
	share := f.advance(time.Minute, 8)
	t.Logf("8 in flight: share %.3f", share)
	is.True(share > 0.95) // all requests fit on the engine
	f.advance(30*time.Second, 170)
	share = f.advance(5*time.Minute, 170)
	mean := float64(f.loadSum) / float64(f.samples)
	t.Logf("170 in flight: share %.3f, load of the engine: mean %.1f, max %d", share, mean, f.maxLoad)
	is.True(f.maxLoad <= 2*roomLimit)
	is.True(mean > roomLimit/2) // and the engine is used
	share = f.advance(5*time.Minute, 400)
	mean = float64(f.loadSum) / float64(f.samples)
	t.Logf("400 in flight: share %.3f, load of the engine: mean %.1f, max %d", share, mean, f.maxLoad)
	is.True(f.maxLoad <= 400/roomEngines*2)
}
