package suspect

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hickorybank/hickorybank/internal/request"
)

// Fails if requests wait for their whole deadline: however peers answer the node's
// questions, late, behind themselves or not at all, each decision follows within MaxWait.
func TestDecisionFollowsWithinMaxWait(t *testing.T) {
	const tick = 50 * time.Millisecond
	for seed := range uint64(500) {
		random := rand.New(rand.NewPCG(seed, 1))
		a := New(Settings{Self: "a", Born: 1}, epoch)
		a.SetPeers([]string{"b", "c"}, epoch)
		limit := a.settings.MaxWait() + 2*tick
		asked := map[string]time.Duration{}
		var pulls []Message
		for now := tick; now < time.Minute; now += tick {
			at := epoch.Add(now)
			if random.IntN(10) == 0 {
				attempt := fmt.Sprint(now)
				f := request.NewFingerprint("org", []byte{byte(random.IntN(3))})
				if a.AdmitAt(attempt, f, "engine-1", at).Verdict == Wait {
					asked[attempt] = now
				}
			}
			if random.IntN(50) == 0 {
				a.Crashed(CrashID{Upstream: "engine-1", Epoch: uint64(now)}, at)
			}
			a.Tick(at)
			if len(pulls) > 0 && random.IntN(4) == 0 {
				m := pulls[random.IntN(len(pulls))]
				a.Step(Message{From: m.To, Born: 2, Kind: Push, Seq: m.Seq, Behind: random.IntN(8) > 0}, at)
			}
			ready := a.Ready()
			for _, d := range ready.Decisions {
				delete(asked, d.Attempt)
			}
			for _, m := range ready.Messages {
				if m.Kind == Pull {
					pulls = append(pulls, m)
				}
			}
			for attempt, since := range asked {
				if now-since > limit {
					t.Fatalf("seed %d: attempt %s waits for %v, more than %v", seed, attempt, now-since, limit)
				}
			}
		}
	}
}
