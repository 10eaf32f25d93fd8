package suspect

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/request"
)

// All nodes know the suspect before callers get a failure. 400 nodes exchange messages
// with nine others each; one message of ten is lost, and each takes up to 80 ms.
func TestSuspectIsKnownEverywhereBeforeCallersAreTold(t *testing.T) {
	is := is.New(t)
	const nodes, tick = 400, 20 * time.Millisecond
	random := rand.New(rand.NewPCG(1, 1))
	var ids []string
	trackers := map[string]*Tracker{}
	for i := range nodes {
		id := fmt.Sprintf("node-%d", i)
		ids = append(ids, id)
		trackers[id] = New(Settings{Self: id, Born: uint64(i + 1)}, epoch)
	}
	for _, id := range ids {
		trackers[id].SetPeers(ids, epoch)
	}
	inFlight := map[time.Duration][]Message{}
	messages := 0
	step := func(now time.Duration) (released bool) {
		for _, m := range inFlight[now] {
			trackers[m.To].Step(m, epoch.Add(now))
		}
		delete(inFlight, now)
		for _, id := range ids {
			trackers[id].Tick(epoch.Add(now))
			r := trackers[id].Ready()
			released = released || len(r.Reportable) > 0
			for _, m := range r.Messages {
				messages++
				if random.IntN(10) > 0 {
					at := now + tick*time.Duration(1+random.IntN(4))
					inFlight[at] = append(inFlight[at], m)
				}
			}
		}
		return released
	}
	now := time.Duration(0)
	for ; now < 4*time.Second; now += tick {
		step(now)
	}
	f := request.NewFingerprint("org", []byte("draft"))
	is.True(trackers["node-7"].Started("1", f, "engine", epoch.Add(now)))
	trackers["node-7"].Crashed(CrashID{Upstream: "engine"}, epoch.Add(now))
	messages = 0
	knownAfter, began := time.Duration(0), now
	for ; !step(now); now += tick {
		missing := 0
		for _, id := range ids {
			if !trackers[id].IsSuspect(f) {
				missing++
			}
		}
		if missing == 0 && knownAfter == 0 {
			knownAfter = now - began
		}
		is.True(now < began+time.Minute)
	}
	is.True(knownAfter > 0) // all knew before the callers were told
	t.Logf("known everywhere after %v, reported to callers after %v, %d messages in all", knownAfter, now-began, messages)
}
