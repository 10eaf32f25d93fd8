package crashguard

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// evidence builds the evidence of one guard step by step.
type evidence struct {
	g   *Guard
	now time.Time
	n   int
}

func newEvidence() *evidence { return &evidence{g: New(), now: time.Unix(1000, 0)} }

// chain returns the chain of a new request with some parts.
func (e *evidence) chain(parts ...string) Chain {
	e.n++
	var c Chain
	for _, p := range parts {
		c = append(c, PartKey(p))
	}
	return append(c, RequestKey("org", "/a", []byte(fmt.Sprint(e.n))))
}

// trial lets a request with a convicted part through, which runs.
func (e *evidence) trial(key Key) {
	e.g.BeginTrial(key, e.now)
	e.g.CountTrial(key)
}

// crash lets an upstream crash under some requests, half a second after the crash before.
func (e *evidence) crash(running ...Chain) {
	e.now = e.now.Add(500 * time.Millisecond)
	e.n++
	for _, c := range running {
		e.g.Strike(NewCrashID(fmt.Sprint(e.n)), c, e.now, e.now, e.now)
	}
}

// answer answers a new request with some parts.
func (e *evidence) answer(parts ...string) bool {
	e.now = e.now.Add(10 * time.Millisecond)
	return e.g.Answered(e.chain(parts...), e.now, e.now)
}

func (e *evidence) convicted(part string) bool {
	return len(e.g.Convicted(Chain{PartKey(part)}, e.now)) > 0
}

// Fails if a request that crashes one upstream after the other is not refused everywhere, or one
// that ran beside it once is.
func TestRequestIsConvictedAfterThreeCrashes(t *testing.T) {
	is := is.New(t)
	here, there := New(), New()
	now := time.Unix(1000, 0)
	crasher, bystander := Chain{RequestKey("org", "/a", []byte("x"))}, Chain{RequestKey("org", "/a", []byte("y"))}
	is.True(here.Strike(NewCrashID("i-1"), crasher, now, now, now))
	is.True(!here.Strike(NewCrashID("i-1"), crasher, now, now, now)) // a duplicate of the same crash
	is.True(here.Strike(NewCrashID("i-1"), bystander, now, now, now))
	is.True(there.Strike(NewCrashID("i-2"), crasher, now.Add(time.Second), now.Add(time.Second), now.Add(time.Second)))
	now = now.Add(2 * time.Second)
	is.True(there.Merge(here.Report(now), now)) // others should learn of it
	is.Equal(len(there.Convicted(crasher, now)), 0)
	is.True(there.Strike(NewCrashID("i-3"), crasher, now, now, now))
	is.Equal(len(there.Convicted(crasher, now)), 1)
	is.Equal(there.Strikes(crasher[0]), 3)
	is.Equal(len(there.Convicted(bystander, now)), 0)
	here.Merge(there.Report(now), now)
	is.Equal(len(here.Convicted(crasher, now)), 1)
}

// Fails if different requests with a common part never add up, or the parts beside it are convicted
// for it.
func TestCommonPartIsConvicted(t *testing.T) {
	is := is.New(t)
	e := newEvidence()
	e.answer("first", "sound")
	for i := range 3 {
		e.crash(e.chain("first", "bad"), e.chain("first", fmt.Sprint("beside", i)), e.chain("first", "sound"))
		is.Equal(e.convicted("bad"), i == 2)
	}
	is.True(!e.convicted("first"))
	is.True(!e.convicted("sound"))
	is.True(!e.convicted("beside0"))
}

// Fails if the first part of prompts is not convicted because each of its crashes has another part
// behind it.
func TestPartIsConvictedBeforeThoseBehindIt(t *testing.T) {
	is := is.New(t)
	e := newEvidence()
	for i := range 4 {
		e.crash(e.chain("bad", fmt.Sprint("behind", i%2)))
	}
	is.True(e.convicted("bad"))
	is.True(!e.convicted("behind0"))
}

// Fails if a part is convicted for a loss of many upstreams at once.
func TestLossOfManyUpstreamsConvictsNothing(t *testing.T) {
	is := is.New(t)
	e := newEvidence()
	for i := range 20 {
		at := e.now.Add(time.Duration(i) * time.Millisecond)
		e.g.Strike(NewCrashID(fmt.Sprint("i-", i)), e.chain("first", "second"), e.now.Add(-time.Second), at, at)
	}
	e.now = e.now.Add(time.Minute)
	is.True(!e.convicted("first"))
	is.True(!e.convicted("second"))
}

// Fails if answers between crashes do not speak for a part, or those before the crashes for good.
func TestAnswersClearEarlierStrikes(t *testing.T) {
	is := is.New(t)
	e := newEvidence()
	e.answer("part")
	e.crash(e.chain("part"))
	e.crash(e.chain("part"))
	is.True(e.answer("part"))
	is.True(!e.answer("part")) // nothing is left to clear
	for range minMomentsAnswered {
		is.True(!e.convicted("part"))
		e.crash(e.chain("part"))
	}
	is.True(e.convicted("part"))
}

// Fails if a conviction on a part of the evidence stays when the rest is known.
func TestLaterEvidenceEndsAWrongConviction(t *testing.T) {
	is := is.New(t)
	e, other := newEvidence(), New()
	for range 5 {
		e.crash(e.chain("first", "beside"))
		if e.n > 2 {
			other.Strike(NewCrashID(fmt.Sprint(e.n)), e.chain("first", "bad"), e.now, e.now, e.now)
		}
	}
	is.True(e.convicted("beside"))
	for i := range 5 {
		e.crash()
		at := e.now
		other.Strike(NewCrashID(fmt.Sprint("other", i)), e.chain("first", "bad"), at, at, at)
	}
	e.g.Merge(other.Report(e.now), e.now)
	is.True(e.convicted("bad"))
	is.True(!e.convicted("beside"))
}

// Fails if trials of a convicted part never come, have no bound, or do not end the conviction.
func TestTrialsEndAConviction(t *testing.T) {
	is := is.New(t)
	e := newEvidence()
	for range 3 {
		e.crash(e.chain("part"))
	}
	key := PartKey("part")
	is.True(e.convicted("part"))
	due := e.g.TrialDue(Chain{key}, key, e.now.Add(trialDelays[0]-time.Second))
	is.True(!due)
	for _, delay := range trialDelays {
		e.now = e.now.Add(delay)
		due = e.g.TrialDue(Chain{key}, key, e.now)
		is.True(due)
		e.trial(key)
	}
	due = e.g.TrialDue(Chain{key}, key, e.now.Add(12*time.Hour))
	is.True(!due)
	peer := New()
	peer.Merge(e.g.Report(e.now), e.now)
	due = peer.TrialDue(Chain{key}, key, e.now.Add(12*time.Hour))
	is.True(!due) // trials count at all nodes
	is.True(e.answer("part"))
	is.True(!e.convicted("part"))
	is.True(peer.Merge(e.g.Report(e.now), e.now))
	is.Equal(len(peer.Convicted(Chain{key}, e.now)), 0)
}

// Fails if a trial that did not run uses up one of the few, or another one begins before its result
// is known.
func TestTrialThatDidNotRunIsRepeated(t *testing.T) {
	is := is.New(t)
	e := newEvidence()
	for range 3 {
		e.crash(e.chain("part"))
	}
	key := PartKey("part")
	is.True(e.convicted("part"))
	peer := New()
	due := func(g *Guard, after time.Duration) bool {
		return g.TrialDue(Chain{key}, key, e.now.Add(after))
	}
	for range 2 * len(trialDelays) {
		e.now = e.now.Add(trialDelays[0])
		is.True(due(e.g, 0))
		e.g.BeginTrial(key, e.now)
		peer.Merge(e.g.Report(e.now), e.now)
		is.Equal(len(peer.Convicted(Chain{key}, e.now)), 1)
		for _, g := range []*Guard{e.g, peer} {
			is.True(!due(g, trialTimeout-time.Second))
		}
		e.g.DeclineTrial(key)
		is.True(!due(e.g, trialDelays[0]-time.Second))
		is.True(!due(peer, trialTimeout-time.Second))
		is.True(due(peer, trialTimeout))
	}
}

// Fails if several nodes make the trial that is due at once.
func TestTrialIsGrantedToOneNode(t *testing.T) {
	is := is.New(t)
	e, other := newEvidence(), New()
	for range 3 {
		e.crash(e.chain("part"))
	}
	key := PartKey("part")
	is.True(e.convicted("part"))
	other.Merge(e.g.Report(e.now), e.now)
	is.Equal(len(other.Convicted(Chain{key}, e.now)), 1)
	is.True(!e.g.GrantTrial(other.TrialRequest(key), e.now)) // it is not due yet
	e.now = e.now.Add(trialDelays[0])
	is.True(e.g.TrialDue(Chain{key}, key, e.now))
	is.True(other.TrialDue(Chain{key}, key, e.now))
	is.True(e.g.GrantTrial(e.g.TrialRequest(key), e.now))
	is.True(!e.g.GrantTrial(other.TrialRequest(key), e.now))
	other.DenyTrial(key, e.now)
	is.True(!other.TrialDue(Chain{key}, key, e.now.Add(trialAskInterval-1)))
	unknown := PartKey("unknown here")
	is.True(e.g.GrantTrial(TrialRequest{Key: unknown}, e.now))
	is.True(!e.g.GrantTrial(TrialRequest{Key: unknown}, e.now.Add(trialTimeout-1)))
}

// Fails if a conviction does not outlast a storm, or memory and reports are not bounded.
func TestEvidenceIsBounded(t *testing.T) {
	is := is.New(t)
	e := newEvidence()
	for range 3 {
		e.crash(e.chain("bad"))
	}
	is.True(e.convicted("bad"))
	for i := range 2 * maxCrashes {
		var running []Chain
		for k := range 20 {
			running = append(running, e.chain(fmt.Sprint("p", i, k)))
		}
		e.crash(running...)
	}
	is.True(e.convicted("bad"))
	is.True(len(e.g.keys) <= maxKeys)
	is.True(len(e.g.slots) <= maxCrashes)
	r := e.g.Report(e.now)
	is.True(len(r.Keys) <= maxSentKeys)
	is.True(len(r.Crashes) <= maxCrashes)
	peer := New()
	peer.Merge(r, e.now)
	is.Equal(len(peer.Convicted(Chain{PartKey("bad")}, e.now)), 1)
	e.now = e.now.Add(newsTime + time.Second)
	is.Equal(len(e.g.Report(e.now).Keys), 1) // after the storm only the convicted key is sent
	e.now = e.now.Add(convictionTTL + time.Minute)
	is.Equal(len(e.g.Report(e.now).Keys), 0)
	is.Equal(len(e.g.slots), 0)
	is.True(!e.convicted("bad"))
	is.Equal(len(e.g.keys), 0)
}

// Fails if trials are counted for longer than the conviction may last.
func TestTrialsExpireWithTheirConviction(t *testing.T) {
	is := is.New(t)
	e := newEvidence()
	key := PartKey("part")
	for range 2 {
		for range 3 {
			e.crash(e.chain("part"))
		}
		is.True(e.convicted("part"))
		for range trialDelays {
			e.now = e.now.Add(time.Hour)
			due := e.g.TrialDue(Chain{key}, key, e.now)
			is.True(due)
			e.trial(key)
		}
		e.now = e.now.Add(convictionTTL)
		e.g.Report(e.now)
	}
}

// Fails if prompts that hold the same parts in any order, or one part repeatedly, make the search for
// a verdict endless.
func TestPartsInAnyOrder(t *testing.T) {
	is := is.New(t)
	e := newEvidence()
	for range 4 {
		e.crash(e.chain("a", "b", "c"), e.chain("c", "b", "a"), e.chain("a", "a"), e.chain("b", "a", "b"))
		e.crash(e.chain("c", "a"))
	}
	is.True(e.convicted("a") || e.convicted("b") || e.convicted("c"))
}

// Fails if requests that differ in organisation, path or body have one key.
func TestDifferentRequestsHaveDifferentKeys(t *testing.T) {
	is := is.New(t)
	seen := map[Key]string{}
	for _, org := range []string{"", "a", "ab"} {
		for _, path := range []string{"", "a", "b"} {
			for _, body := range []string{"", "a", "\x00"} {
				key := RequestKey(org, path, []byte(body))
				name := fmt.Sprintf("%q %q %q", org, path, body)
				is.Equal(seen[key], "") // no other request has this key
				seen[key] = name
			}
		}
	}
}
