package ledger

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/hickorybank/hickorybank/internal/ledger/bill"
	"github.com/hickorybank/hickorybank/internal/ledger/claim"
	"github.com/hickorybank/hickorybank/internal/ledger/fate"
	"github.com/hickorybank/hickorybank/internal/ledger/key"
)

// The load of one node: 94,000 requests per second over 1,600 nodes, of which a tenth are
// not repeatable.
const (
	nodeRate   = 94_000.0 / 1600
	claimShare = 0.1
	maxDomains = 38
	tableTime  = 10 * time.Millisecond
	runTime    = 500 * time.Millisecond
	fleetTime  = 20 * time.Second
	// todayRate is a node's share of 130 requests per second at 8 nodes.
	todayRate = 130.0 / 8
	// todayRun is the run time of a short call, from its claim to its settlement.
	todayRun = 20 * time.Millisecond
)

// fleet simulates a whole fleet in virtual time: a collector for each failure domain, and
// the claim logs of one bucket, each at its batcher.
type fleet struct {
	settings   Settings
	rng        *rand.Rand
	nodes      int
	rate       float64 // requests per second of a node
	runTime    time.Duration
	now, start time.Time
	collectors []*bill.Collector
	logs       []*claim.Log
	due        []dueEvent
	number     uint64
	addedAt    map[uint64]time.Time

	billWrites, claimWrites int
	billBytes, claimBytes   int
	billWaits, claimWaits   []time.Duration
}

// dueEvent is a function to call at a time.
type dueEvent struct {
	at time.Time
	do func()
}

func newFleet(nodes, shards int, rate float64, run time.Duration) *fleet {
	f := &fleet{settings: DefaultSettings(), rng: rand.New(rand.NewPCG(1, 1)), nodes: nodes, rate: rate, runTime: run, now: time.Unix(60_000, 0), addedAt: map[uint64]time.Time{}}
	f.start = f.now
	f.settings.Layout.Shards = shards
	domains := min(nodes, maxDomains)
	for i := range domains {
		s := f.settings.collector(fmt.Sprint("w", i))
		s.MinGap, s.Burst = f.settings.billPacing(domains)
		s.MaxWaiting = 1 << 20
		f.collectors = append(f.collectors, bill.NewCollector(s))
	}
	for i := range shards {
		name := key.Log{Kind: key.Timed, Shard: i, Bucket: f.now.UnixMilli() / f.settings.Layout.ClaimBucket.Milliseconds()}
		f.logs = append(f.logs, claim.NewLog(name, f.settings.claimLog(name, fmt.Sprint("w", i), f.now), nil))
	}
	return f
}

func (f *fleet) run() {
	const step = time.Millisecond
	perStep := float64(f.nodes) * f.rate * step.Seconds()
	credit := 0.0
	for f.now.Before(f.start.Add(fleetTime)) {
		f.now = f.now.Add(step)
		for credit += perStep; credit >= 1; credit-- {
			f.arrive()
		}
		f.runDue()
		for _, c := range f.collectors {
			f.collect(c)
		}
		for _, l := range f.logs {
			f.batch(l)
		}
	}
}

func (f *fleet) arrive() {
	f.number++
	if f.rng.Float64() < claimShare {
		f.addEntry(f.logs[f.rng.IntN(len(f.logs))], claim.KindClaim, f.number)
		return
	}
	f.addBill()
}

func (f *fleet) addBill() {
	f.number++
	f.addedAt[f.number] = f.now
	f.collectors[f.rng.IntN(len(f.collectors))].Add(f.number, Bill{
		Org: fmt.Sprint("org", f.number%10), Key: newKey(), Class: "heavy", Version: fmt.Sprint("m", f.number%24), Cost: 1000, OutputTokens: 320, At: f.now,
	})
}

func (f *fleet) addEntry(l *claim.Log, kind claim.Kind, id uint64) {
	f.number++
	f.addedAt[f.number] = f.now
	e := claim.Entry{Kind: kind, ID: key.NewID("org", fmt.Sprint(id)), Attempt: key.NewID("", fmt.Sprint(id)), Node: "entry-17~f47ac10b-58cc-4372-a567-0e02b2c3d479"}
	if kind == claim.KindSettle {
		e.Node, e.Outcome, e.Answer = "", "completed", make([]byte, 200)
	}
	l.Add(f.now, claim.Op{Number: f.number, Entry: e, Deadline: f.now.Add(time.Hour)})
	if kind == claim.KindClaim {
		f.schedule(f.runTime, func() {
			f.addEntry(l, claim.KindSettle, id)
			f.addBill()
		})
	}
}

func (f *fleet) schedule(d time.Duration, do func()) {
	e := dueEvent{f.now.Add(d), do}
	at, _ := slices.BinarySearchFunc(f.due, e, func(a, b dueEvent) int {
		if a.at.After(b.at) {
			return 1
		}
		return -1
	})
	f.due = slices.Insert(f.due, at, e)
}

func (f *fleet) runDue() {
	for len(f.due) > 0 && !f.due[0].at.After(f.now) {
		do := f.due[0].do
		f.due = f.due[1:]
		do()
	}
}

func (f *fleet) collect(c *bill.Collector) {
	r := c.Ready(f.now)
	for _, w := range r.Table {
		f.billWrites++
		data, _ := w.Row.Encode()
		f.billBytes += len(data)
		f.schedule(tableTime, func() { c.TableDone(f.now, w, fate.Applied) })
	}
	for _, reply := range r.Replies {
		f.billWaits = append(f.billWaits, f.waited(reply.Number))
	}
}

func (f *fleet) batch(l *claim.Log) {
	r := l.Ready(f.now)
	if r.Read != nil {
		l.RowsRead(&claim.Floor{}, nil, false)
	}
	if r.Create != nil {
		f.claimWrites++
		data, _ := r.Create.Row.Encode()
		f.claimBytes += len(data)
		f.schedule(tableTime, func() { l.WriteDone(f.now, fate.Applied) })
	}
	for _, reply := range r.Replies {
		f.claimWaits = append(f.claimWaits, f.waited(reply.Number))
	}
}

func (f *fleet) waited(number uint64) time.Duration {
	d := f.now.Sub(f.addedAt[number])
	delete(f.addedAt, number)
	return d
}

// BenchmarkFleet measures table writes and waits by the size of the fleet, with the load
// that each node has at full size, and with a small load.
func BenchmarkFleet(b *testing.B) {
	for _, size := range []struct{ nodes, shards int }{{2, 4}, {8, 4}, {32, 4}, {128, 4}, {1600, 4}, {1600, 16}, {1600, 64}} {
		b.Run(fmt.Sprintf("nodes=%d/shards=%d", size.nodes, size.shards), func(b *testing.B) {
			benchFleet(b, size.nodes, size.shards, nodeRate, runTime)
		})
	}
	for _, nodes := range []int{6, 8} {
		b.Run(fmt.Sprintf("today/nodes=%d", nodes), func(b *testing.B) { benchFleet(b, nodes, 4, todayRate, todayRun) })
	}
}

func benchFleet(b *testing.B, nodes, shards int, rate float64, run time.Duration) {
	for b.Loop() {
		f := newFleet(nodes, shards, rate, run)
		f.run()
		f.report(b)
	}
}

func (f *fleet) report(b *testing.B) {
	seconds := fleetTime.Seconds()
	b.ReportMetric(float64(f.billWrites)/seconds, "billwrites/s")
	b.ReportMetric(float64(f.claimWrites)/seconds, "claimwrites/s")
	b.ReportMetric(float64(f.billBytes+f.claimBytes)/seconds/float64(f.nodes), "tableB/s/node")
	b.ReportMetric(float64(f.claimBytes)/float64(f.claimWrites), "B/claimrow")
	b.ReportMetric(float64(f.billBytes)/float64(f.billWrites), "B/billrow")
	b.ReportMetric(quantileMS(f.billWaits, 0.5), "bill-p50-ms")
	b.ReportMetric(quantileMS(f.billWaits, 0.99), "bill-p99-ms")
	b.ReportMetric(quantileMS(f.claimWaits, 0.5), "claim-p50-ms")
	b.ReportMetric(quantileMS(f.claimWaits, 0.99), "claim-p99-ms")
}

func quantileMS(waits []time.Duration, part float64) float64 {
	slices.Sort(waits)
	return float64(waits[int(part*float64(len(waits)-1))]) / 1e6
}
