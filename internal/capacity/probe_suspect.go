package capacity

import (
	"fmt"
	"time"

	"github.com/hickorybank/hickorybank/internal/request"
	"github.com/hickorybank/hickorybank/internal/suspect"
)

func suspectProbes() []Probe {
	records := []int{0, 64, 1024}
	return []Probe{
		{
			Slope: Slope{Name: "suspect.attempt", What: "an attempt: AdmitAt, Started, Completed", Per: "entry nodes", Unit: Nanoseconds},
			Sizes: nodeCounts, QuickSizes: []int{8, 128}, Measure: measureAttempt,
		},
		{
			Slope: Slope{Name: "suspect.messages", What: "messages of all nodes in a quiet second", Per: "entry nodes", Unit: Messages},
			Sizes: []int{8, 32, 128}, QuickSizes: []int{8, 32}, Measure: func(_ Meter, n int) (float64, error) { return newSuspectFleet(n).idleMessages(), nil },
		},
		{
			Slope: Slope{Name: "suspect.second", What: "a quiet second of one node's tracker, ticks and messages, without the network", Per: "entry nodes", Unit: Nanoseconds},
			Sizes: []int{8, 32, 128, 512}, QuickSizes: []int{8, 32}, Measure: measureSuspectSecond,
		},
		{
			Slope: Slope{Name: "suspect.alarm", What: "messages of all nodes after a crash with 16 requests in flight, until all know, beyond the quiet ones", Per: "entry nodes", Unit: Messages},
			Sizes: []int{8, 32, 128}, QuickSizes: []int{8, 32}, Measure: func(_ Meter, n int) (float64, error) { return newSuspectFleet(n).crashMessages(), nil },
		},
		{
			Slope: Slope{Name: "suspect.call", What: "a message over net/rpc, both ends", Per: "suspects told of in it", Unit: Nanoseconds},
			Sizes: []int{0, 16, 128}, QuickSizes: []int{0, 16}, Measure: func(m Meter, n int) (float64, error) { return suspectExchange(n).processor(m) },
		},
		{
			Slope: Slope{Name: "suspect.call.bytes", What: "a message over net/rpc", Per: "suspects told of in it", Unit: Bytes},
			Sizes: []int{0, 16, 128}, QuickSizes: []int{0, 16}, Measure: func(_ Meter, n int) (float64, error) { return suspectExchange(n).bytes() },
		},
		{
			Slope: Slope{Name: "suspect.heap", What: "the heap of a tracker with 1,600 peers", Per: "suspects known", Unit: Bytes},
			Sizes: records, QuickSizes: []int{0, 64}, Measure: measureSuspectHeap,
		},
	}
}

func fingerprintOf(i int) request.Fingerprint {
	return request.NewFingerprint(orgName(0), []byte(fmt.Sprint(i)))
}

func records(n int) []suspect.Record {
	list := make([]suspect.Record, n)
	for i := range list {
		list[i] = suspect.Record{Fingerprint: fingerprintOf(-1 - i), Crashes: []suspect.CrashID{{Upstream: "engine-00001", Epoch: 1_800_000_000_000_000_000}}, Left: time.Hour}
	}
	return list
}

func newSuspectTracker(self string, peers []string, known int) *suspect.Tracker {
	t := suspect.New(suspect.Settings{Self: self, Born: 1}, start)
	t.SetPeers(peers, start)
	if known > 0 {
		t.Step(suspect.Message{From: "entry-00001", Born: 1, To: self, Kind: suspect.Alert, Seq: 1, Records: records(known)}, start)
	}
	t.Ready()
	return t
}

func measureAttempt(m Meter, nodes int) (float64, error) {
	t := newSuspectTracker("entry-00000", nodeNames(nodes), 0)
	now := start
	i := 0
	return m.CPU(func(n int) {
		for range n {
			i++
			now = now.Add(17 * time.Millisecond)
			attempt, f := fmt.Sprint(i), fingerprintOf(i)
			t.AdmitAt(attempt, f, "engine-00002", now)
			t.Started(attempt, f, "engine-00002", now)
			t.Completed(attempt, now)
			t.Ready()
		}
	}), nil
}

func measureSuspectHeap(m Meter, known int) (float64, error) {
	return m.Heap(func() any { return newSuspectTracker("entry-00000", nodeNames(1600), known) }), nil
}

// suspectReceiver discards messages.
type suspectReceiver struct{}

// Nothing is an empty RPC reply; net/rpc requires an exported type.
type Nothing struct{}

// Step discards a message.
func (suspectReceiver) Step(*suspect.Message, *Nothing) error { return nil }

func suspectExchange(n int) exchange {
	args := &suspect.Message{From: "entry-00000", Born: uint64(start.UnixNano()), To: "entry-00001", Kind: suspect.Alert, Seq: 12345, Digest: splitMix64(1), Records: records(n)}
	return exchange{name: "Suspect", receiver: suspectReceiver{}, method: "Step", args: args, reply: func() any { return new(Nothing) }}
}
