package capacity

import (
	"fmt"
	"time"

	"github.com/hickorybank/hickorybank/internal/suspect"
)

// suspectFleet is a set of trackers that exchange messages in virtual time, with a latency of one
// millisecond.
type suspectFleet struct {
	names    []string
	trackers []*suspect.Tracker
	index    map[string]int
	now      time.Time
	inbox    []suspect.Message
	sent     int
}

const (
	suspectTick  = 50 * time.Millisecond
	suspectDelay = time.Millisecond
)

func newSuspectFleet(nodes int) *suspectFleet {
	f := &suspectFleet{names: nodeNames(nodes), index: map[string]int{}, now: start}
	for i, name := range f.names {
		f.index[name] = i
		f.trackers = append(f.trackers, newSuspectTracker(name, f.names, 0))
	}
	// Run until all trackers are up to date.
	f.run(5 * time.Second)
	return f
}

// run advances virtual time by d.
func (f *suspectFleet) run(d time.Duration) {
	tick := f.now.Add(suspectTick)
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(suspectDelay)
		f.deliver()
		if f.now.Before(tick) {
			continue
		}
		tick = f.now.Add(suspectTick)
		for _, t := range f.trackers {
			t.Tick(f.now)
			f.collectMessages(t)
		}
	}
}

func (f *suspectFleet) deliver() {
	list := f.inbox
	f.inbox = nil
	for _, m := range list {
		t := f.trackers[f.index[m.To]]
		t.Step(m, f.now)
		f.collectMessages(t)
	}
}

func (f *suspectFleet) collectMessages(t *suspect.Tracker) {
	messages := t.Ready().Messages
	f.inbox = append(f.inbox, messages...)
	f.sent += len(messages)
}

// messages returns the number of messages that all nodes send within d.
func (f *suspectFleet) messages(d time.Duration) float64 {
	before := f.sent
	f.run(d)
	return float64(f.sent - before)
}

func (f *suspectFleet) idleMessages() float64 {
	const seconds = 4
	return f.messages(seconds*time.Second) / seconds
}

// crashMessages returns the additional messages after the first node reports an upstream crash with
// requests in flight.
func (f *suspectFleet) crashMessages() float64 {
	const inFlight, seconds = 16, 2
	quiet := f.idleMessages()
	t := f.trackers[0]
	for i := range inFlight {
		attempt := fmt.Sprint("attempt-", i)
		t.AdmitAt(attempt, fingerprintOf(i), "engine-00001", f.now)
		t.Started(attempt, fingerprintOf(i), "engine-00001", f.now)
	}
	t.Crashed(suspect.CrashID{Upstream: "engine-00001", Epoch: 1}, f.now)
	f.collectMessages(t)
	return max(0, f.messages(seconds*time.Second)-seconds*quiet)
}

func measureSuspectSecond(m Meter, nodes int) (float64, error) {
	f := newSuspectFleet(nodes)
	return m.CPU(func(n int) {
		for range n {
			f.run(time.Second)
		}
	}) / float64(nodes), nil
}
