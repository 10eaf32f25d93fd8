package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/notice"
	"github.com/hickorybank/hickorybank/internal/upstream"
)

// limitedNodes are nodes that all know one engine, which has named a rate limit to them.
func limitedNodes(count int, perSecond float64) []*Balancer {
	var ids []string
	for i := range count {
		ids = append(ids, fmt.Sprintf("node-%d", i))
	}
	var nodes []*Balancer
	for _, id := range ids {
		b := New(Settings{})
		vms := engines(1)
		b.SetMembers(vms, Place{Count: 1}, epoch)
		b.SetSenders(id, ids)
		reportAll(b, vms, epoch, "v@1")
		b.Noticed(vms[0].ID, notice.Answer{Limit: notice.Limit{Named: true, PerSecond: perSecond}}, epoch)
		nodes = append(nodes, b)
	}
	return nodes
}

// TestLimitNamedAtTheOwnDoorHoldsOverAllNodes guards against an upstream in need that gets
// its usual load from entry nodes, though each of them has read the limit that it names.
func TestLimitNamedAtTheOwnDoorHoldsOverAllNodes(t *testing.T) {
	const perSecond, length = 2.2, 20
	nodes := limitedNodes(8, perSecond)
	sent := 0
	for step := range length * 100 {
		now := epoch.Add(time.Duration(step) * 10 * time.Millisecond)
		for _, b := range nodes {
			if pick, ok := b.Pick(Request{Version: "v@1", Now: now, Random: uint64(step)}); ok {
				b.Done(pick.Token, Result{}, now)
				sent++
			}
		}
	}
	if most := 1.5*perSecond*length + 5; float64(sent) > most || float64(sent) < 0.8*perSecond*length {
		t.Errorf("%d requests in %d s at %.1f a second, %.0f may", sent, length, perSecond, most)
	}
}

// TestLimitEndsWithALaterAnswer guards against a limit that stays for good, or comes back
// with an answer that was read before the one that ended it.
func TestLimitEndsWithALaterAnswer(t *testing.T) {
	is := is.New(t)
	b := limitedNodes(1, 0.5)[0]
	at := func(s int) time.Time { return epoch.Add(time.Duration(s) * time.Second) }
	picked := func(s int) bool {
		pick, ok := b.Pick(Request{Version: "v@1", Now: at(s)})
		if ok {
			b.Done(pick.Token, Result{}, at(s))
		}
		return ok
	}
	is.True(picked(1))
	pick, ok := b.Pick(Request{Version: "v@1", Now: at(1)})
	is.True(!ok)
	is.Equal(pick.Shortage, Shortage{Reason: AllPaced, RetryAfter: 2 * time.Second})
	b.Noticed("eng-0", notice.Answer{}, at(3))
	b.Noticed("eng-0", notice.Answer{Limit: notice.Limit{Named: true, PerSecond: 0.5}}, at(2))
	is.True(picked(4))
	is.True(picked(4))
}

// TestUpstreamThatRestsGetsNothing guards against requests for an upstream that has asked
// this node for rest, since a later answer asked for less, or for none.
func TestUpstreamThatRestsGetsNothing(t *testing.T) {
	is := is.New(t)
	at := func(s int) time.Time { return epoch.Add(time.Duration(s) * time.Second) }
	b := New(Settings{})
	vms := engines(1)
	b.SetMembers(vms, Place{Count: 1}, epoch)
	reportAll(b, vms, epoch, "v@1")
	b.Noticed("eng-0", notice.Answer{Rest: 10 * time.Second}, at(0))
	b.Noticed("eng-0", notice.Answer{Rest: time.Second}, at(1))
	b.Noticed("eng-0", notice.Answer{}, at(2))
	pick, ok := b.Pick(Request{Version: "v@1", Now: at(9)})
	is.True(!ok)
	is.Equal(pick.Shortage.Reason, AllPaced)
	is.True(pick.Shortage.RetryAfter >= time.Second && pick.Shortage.RetryAfter <= 3*time.Second)
	_, ok = b.Pick(Request{Version: "v@1", Now: at(12)})
	is.True(ok)
}

// TestUpstreamThatSaysInAnAnswerThatItLeaves guards against requests for an upstream whose
// load report, which lags, does not say yet that it leaves.
func TestUpstreamThatSaysInAnAnswerThatItLeaves(t *testing.T) {
	is := is.New(t)
	b := New(Settings{})
	vms := engines(1)
	b.SetMembers(vms, Place{Count: 1}, epoch)
	reportAll(b, vms, epoch, "v@1")
	now := epoch.Add(time.Second)
	b.Noticed("eng-0", notice.Answer{Leaving: true}, now)
	b.Report("eng-0", upstream.LoadReport{Limit: 8, Versions: []string{"v@1"}, AgeMillis: 500}, now.Add(100*time.Millisecond))
	pick, ok := b.Pick(Request{Version: "v@1", Now: now.Add(200 * time.Millisecond)})
	is.True(!ok)
	is.Equal(pick.Shortage.Reason, AllLeaving)
}

// TestRestEndsWithItsProcess guards against an upstream that has started again and gets
// nothing for as long as its former process had asked.
func TestRestEndsWithItsProcess(t *testing.T) {
	is := is.New(t)
	b := limitedNodes(1, 0)[0]
	b.Noticed("eng-0", notice.Answer{Rest: 10 * time.Minute}, epoch)
	b.Restarted("eng-0")
	_, ok := b.Pick(Request{Version: "v@1", Now: epoch.Add(time.Second)})
	is.True(ok)
}
