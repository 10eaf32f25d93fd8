package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/notice"
	"github.com/hickorybank/hickorybank/internal/upstream"
)

// rateLimitedNodes returns nodes that know one engine, which has announced a rate limit
// to them.
func rateLimitedNodes(count int, perSecond float64) []*Balancer {
	var ids []string
	for i := range count {
		ids = append(ids, fmt.Sprintf("node-%d", i))
	}
	var nodes []*Balancer
	for _, id := range ids {
		b := New(Settings{})
		vms := engines(1)
		b.SetMembers(vms, NodeRank{Count: 1}, epoch)
		b.SetSenders(id, ids)
		reportAll(b, vms, epoch, "v@1")
		b.ApplyResponse(vms[0].ID, notice.Response{Limit: notice.Limit{Named: true, PerSecond: perSecond}}, epoch)
		nodes = append(nodes, b)
	}
	return nodes
}

// Fails if an overloaded upstream still gets its usual load because each node uses the
// announced limit as its own.
func TestRateLimitHoldsAcrossNodes(t *testing.T) {
	const perSecond, seconds = 2.2, 20
	nodes := rateLimitedNodes(8, perSecond)
	sent := 0
	for step := range seconds * 100 {
		now := epoch.Add(time.Duration(step) * 10 * time.Millisecond)
		for _, b := range nodes {
			if pick, ok := b.Pick(Request{Version: "v@1", Now: now, Random: uint64(step)}); ok {
				b.Done(pick.Token, Result{}, now)
				sent++
			}
		}
	}
	if maxSent := 1.5*perSecond*seconds + 5; float64(sent) > maxSent || float64(sent) < 0.8*perSecond*seconds {
		t.Errorf("%d requests in %d s at a limit of %.1f per second, want at most %.0f", sent, seconds, perSecond, maxSent)
	}
}

// Fails if a limit never ends, or returns with an answer read before the one that ended
// it.
func TestRateLimitEndsWithLaterAnswer(t *testing.T) {
	is := is.New(t)
	b := rateLimitedNodes(1, 0.5)[0]
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
	b.ApplyResponse("eng-0", notice.Response{}, at(3))
	b.ApplyResponse("eng-0", notice.Response{Limit: notice.Limit{Named: true, PerSecond: 0.5}}, at(2))
	is.True(picked(4))
	is.True(picked(4))
}

// An upstream that asked this node for a pause gets no requests during it, even after a
// later answer asked for a shorter one or for none.
func TestLaterAnswerDoesNotShortenBackoff(t *testing.T) {
	is := is.New(t)
	at := func(s int) time.Time { return epoch.Add(time.Duration(s) * time.Second) }
	b := New(Settings{})
	vms := engines(1)
	b.SetMembers(vms, NodeRank{Count: 1}, epoch)
	reportAll(b, vms, epoch, "v@1")
	b.ApplyResponse("eng-0", notice.Response{Backoff: 10 * time.Second}, at(0))
	b.ApplyResponse("eng-0", notice.Response{Backoff: time.Second}, at(1))
	b.ApplyResponse("eng-0", notice.Response{}, at(2))
	pick, ok := b.Pick(Request{Version: "v@1", Now: at(9)})
	is.True(!ok)
	is.Equal(pick.Shortage.Reason, AllPaced)
	is.True(pick.Shortage.RetryAfter >= time.Second && pick.Shortage.RetryAfter <= 3*time.Second)
	_, ok = b.Pick(Request{Version: "v@1", Now: at(12)})
	is.True(ok)
}

// An upstream whose answer announced that it leaves gets no more requests, even while its
// delayed load report does not show that yet.
func TestLeavingAnswerOutlastsOlderReport(t *testing.T) {
	is := is.New(t)
	b := New(Settings{})
	vms := engines(1)
	b.SetMembers(vms, NodeRank{Count: 1}, epoch)
	reportAll(b, vms, epoch, "v@1")
	now := epoch.Add(time.Second)
	b.ApplyResponse("eng-0", notice.Response{Leaving: true}, now)
	b.Report("eng-0", upstream.LoadReport{Limit: 8, Versions: []string{"v@1"}, AgeMillis: 500}, now.Add(100*time.Millisecond))
	pick, ok := b.Pick(Request{Version: "v@1", Now: now.Add(200 * time.Millisecond)})
	is.True(!ok)
	is.Equal(pick.Shortage.Reason, AllLeaving)
}

// An upstream that has restarted gets requests at once, although its previous process
// asked for a pause that still lasts.
func TestRestartEndsBackoff(t *testing.T) {
	is := is.New(t)
	b := rateLimitedNodes(1, 0)[0]
	b.ApplyResponse("eng-0", notice.Response{Backoff: 10 * time.Minute}, epoch)
	b.Restarted("eng-0")
	_, ok := b.Pick(Request{Version: "v@1", Now: epoch.Add(time.Second)})
	is.True(ok)
}
