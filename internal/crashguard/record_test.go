package crashguard

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// recordEnv is the table's clock and what is needed to convict keys.
type recordEnv struct {
	now   time.Time
	clock TableClock
	// data is the row of the table.
	data []byte
}

func newRecordEnv() *recordEnv {
	now := time.Unix(2_000_000, 0)
	return &recordEnv{now: now, clock: TableClock{Origin: now.Add(-7 * time.Hour)}}
}

// strike lets upstreams crash under requests with a chain, each gap after the one before.
func (e *recordEnv) strike(g *Guard, chain Chain, crashes int, gap time.Duration) {
	for range crashes {
		g.Strike(NewCrashID(fmt.Sprint(e.now.UnixNano())), chain, e.now.Add(-time.Millisecond), e.now, e.now)
		e.now = e.now.Add(gap)
	}
}

// write returns the record that a guard writes, and notes that it is written.
func (e *recordEnv) write(t *testing.T, g *Guard) []byte {
	t.Helper()
	held, _ := DecodeRecord(e.data) // the first time there is none
	d, ok := g.Draft(held, e.clock, e.now)
	if !ok {
		t.Fatal("there is nothing to record")
	}
	g.NoteRecorded(d)
	e.data = d.Data
	return d.Data
}

// startedWith returns the guard of a process that starts with a record, after a while.
func (e *recordEnv) startedWith(t *testing.T, data []byte, after time.Duration) *Guard {
	t.Helper()
	r, err := DecodeRecord(data)
	if err != nil {
		t.Fatal(err)
	}
	e.now = e.now.Add(after)
	g := New()
	g.MergeRecord(r, e.clock, true, e.now)
	return g
}

// Fails if a loss of all processes ends a conviction, a quarantine or the count of trials, or if it
// turns crashes of sound requests into a conviction.
func TestEvidenceOutlastsLossOfAllProcesses(t *testing.T) {
	chain := Chain{RequestKey("o", "/bad", nil)}
	key := chain[0]
	for _, c := range []struct {
		name string
		play func(e *recordEnv, g *Guard)
		want State
		// trials are those that count after the start.
		trials int
		// down is how long no process runs; a minute if 0.
		down time.Duration
	}{
		{"convicted an hour ago", func(e *recordEnv, g *Guard) { e.strike(g, chain, 3, time.Second) }, Convicted, 0, time.Hour},
		{"convicted a day ago", func(e *recordEnv, g *Guard) { e.strike(g, chain, 3, time.Second) }, Cleared, 0, convictionTTL + time.Minute},
		{"quarantined an hour ago", func(e *recordEnv, g *Guard) { e.strike(g, chain, 3, time.Millisecond) }, Cleared, 0, time.Hour},
		{"convicted", func(e *recordEnv, g *Guard) { e.strike(g, chain, 3, time.Second) }, Convicted, 0, 0},
		{"quarantined", func(e *recordEnv, g *Guard) { e.strike(g, chain, 3, time.Millisecond) }, Quarantined, 0, 0},
		{"two crashes", func(e *recordEnv, g *Guard) { e.strike(g, chain, 2, time.Second) }, Cleared, 0, 0},
		{"a trial has run", func(e *recordEnv, g *Guard) {
			e.strike(g, chain, 3, time.Second)
			g.Convicted(chain, e.now)
			g.BeginTrial(key, e.now)
			g.CountTrial(key)
		}, Convicted, 1, 0},
		{"a trial is running", func(e *recordEnv, g *Guard) {
			e.strike(g, chain, 3, time.Second)
			g.Convicted(chain, e.now)
			g.BeginTrial(key, e.now)
		}, Convicted, 1, 0},
		{"a trial was declined", func(e *recordEnv, g *Guard) {
			e.strike(g, chain, 3, time.Second)
			g.Convicted(chain, e.now)
			g.BeginTrial(key, e.now)
			g.DeclineTrial(key)
		}, Convicted, 0, 0},
		{"answered after the crashes", func(e *recordEnv, g *Guard) {
			e.strike(g, chain, 3, time.Second)
			g.Answered(chain, e.now, e.now)
			e.strike(g, chain, 1, time.Second)
		}, Cleared, 0, 0},
		{"answered shortly before three crashes", func(e *recordEnv, g *Guard) {
			g.Answered(chain, e.now, e.now)
			e.strike(g, Chain{RequestKey("o", "/other", nil), key}, 2, 2*time.Second)
		}, Cleared, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			e, g := newRecordEnv(), New()
			c.play(e, g)
			if c.down == 0 {
				c.down = time.Minute
			}
			g = e.startedWith(t, e.write(t, g), c.down)
			state := Cleared
			if keys := g.Blocking(chain, e.now); len(keys) > 0 {
				state = Quarantined
				if g.IsConvicted(key) {
					state = Convicted
				}
			}
			is.Equal(state, c.want)
			if entry := g.keys[key]; entry != nil {
				is.Equal(entry.trials, c.trials)
				is.True(!entry.inTrial)
			}
		})
	}
}

// Fails if knowing less than the record, or as much, causes writes, or if news does not.
func TestRecordIsWrittenForNewsOnly(t *testing.T) {
	is := is.New(t)
	e, g, peer := newRecordEnv(), New(), New()
	chain := Chain{PartKey("part"), RequestKey("o", "/", nil)}
	lacks := func(g *Guard) bool { _, ok := g.Draft(Record{}, e.clock, e.now); return ok }
	is.True(!lacks(g)) // it knows of no crash
	e.strike(g, chain, 2, time.Second)
	is.True(lacks(g))
	peer.Merge(g.Report(e.now), e.now)
	data := e.write(t, g)
	is.True(!lacks(g))
	is.True(peer.HasUnrecorded(e.now)) // it has not read the record
	r, err := DecodeRecord(data)
	is.NoErr(err)
	peer.MergeRecord(r, e.clock, false, e.now)
	is.True(!lacks(peer))
	e.strike(peer, chain, 1, time.Second)
	is.True(lacks(peer))
	e.write(t, peer)
	peer.Answered(chain, e.now, e.now)
	is.True(lacks(peer)) // a clearance that is not recorded brings a verdict back
	e.write(t, peer)
	is.True(!lacks(peer))
	e.strike(peer, chain, 1, time.Second)
	e.write(t, peer)
	peer.SetEra(1) // the table has lost it
	is.True(lacks(peer))
}

// Fails if a record that another program wrote, or that is of another clock, ends a process, or
// convicts for longer than a day.
func TestOddRecordsAreHarmless(t *testing.T) {
	key, other := RequestKey("o", "/", nil), PartKey("p")
	for _, c := range []struct {
		name, data string
		// blocked is set if the key is blocked at the start.
		blocked, invalid bool
	}{
		{name: "empty", data: "", invalid: true},
		{name: "no JSON", data: "{", invalid: true},
		{name: "another form", data: `{"crashes": 3}`, invalid: true},
		{name: "negative trials", data: fmt.Sprintf(`{"keys":[{"key":%d,"trials":-1}]}`, key), invalid: true},
		{name: "too many crashes", data: `{"crashes":[` + strings.Repeat(`{"id":1,"at_ms":1},`, maxCrashes) + `{"id":1,"at_ms":1}]}`, invalid: true},
		{name: "nothing", data: "{}"},
		{name: "key without crashes", data: fmt.Sprintf(`{"keys":[{"key":%d,"struck":"/w==","trials":1,"trial_ms":-5,"in_trial":true}]}`, key)},
		{name: "without times", data: fmt.Sprintf(`{"crashes":[{"id":1},{"id":2},{"id":3}],"keys":[{"key":%d,"struck":"Bw=="}]}`, key)},
		{name: "times before zero", data: fmt.Sprintf(`{"crashes":[{"id":1,"at_ms":-9223372036854775808},{"id":2,"at_ms":-1},{"id":3,"at_ms":-1}],"keys":[{"key":%d,"struck":"Bw=="}]}`, key)},
		{name: "the last moments of time", data: fmt.Sprintf(`{"crashes":[{"id":1,"at_ms":9223372036854775807},{"id":2,"at_ms":9223372036854775807},{"id":3,"at_ms":9223372036854775807}],"keys":[{"key":%d,"struck":"Bw==","trial_ms":9223372036854775807,"trials":9}]}`, key), blocked: true},
		{name: "its own parent", data: fmt.Sprintf(`{"crashes":[{"id":1,"at_ms":25000000},{"id":2,"at_ms":25001000},{"id":3,"at_ms":25002000}],"keys":[{"key":%d,"parent":%d,"struck":"Bw=="},{"key":%d,"parent":%d,"struck":"//////8="}]}`, key, key, other, key)},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			e, g := newRecordEnv(), New()
			r, err := DecodeRecord([]byte(c.data))
			is.Equal(err != nil, c.invalid)
			g.MergeRecord(r, e.clock, true, e.now)
			is.Equal(len(g.Blocking(Chain{key}, e.now)) > 0, c.blocked)
			if d, ok := g.Draft(Record{}, e.clock, e.now); ok {
				for _, crash := range d.Record.Crashes {
					is.True(crash.AtMs <= e.clock.toTable(e.now)) // each start would take it for one of that moment
				}
				g = e.startedWith(t, d.Data, convictionTTL+time.Second)
			}
			e.now = e.now.Add(convictionTTL + time.Second)
			g.bound(e.now)
			is.Equal(len(g.Blocking(Chain{key}, e.now)), 0)
		})
	}
}

// Fails if crashes of one loss come apart in time because nodes that know of some of them each have
// another estimate of the table's clock: the loss would convict what ran in it.
func TestCrashesOfOneLossStayTogetherInTheRecord(t *testing.T) {
	is := is.New(t)
	e := newRecordEnv()
	chain := Chain{RequestKey("o", "/hot", nil)}
	sent := e.now.Add(-time.Second)
	var data []byte
	for node := range 4 {
		g := New()
		if data != nil {
			r, err := DecodeRecord(data)
			is.NoErr(err)
			g.MergeRecord(r, e.clock, false, e.now)
		}
		for upstream := range 3 {
			g.Strike(NewCrashID(fmt.Sprint(node, upstream)), chain, sent, e.now, e.now)
		}
		e.clock.Origin = e.clock.Origin.Add([]time.Duration{0, 8, -16, 8}[node] * time.Millisecond)
		data = e.write(t, g)
	}
	g := e.startedWith(t, data, time.Second)
	is.Equal(g.Strikes(chain[0]), 12)
	is.True(!g.IsConvicted(chain[0]))
	is.Equal(g.Evidence(chain[0], e.now).Moments, 1)
}

// Fails if a record outgrows a row of the table, or new strikes have no room beside many convictions.
func TestRecordFitsIntoARow(t *testing.T) {
	is := is.New(t)
	e, g := newRecordEnv(), New()
	for i := range maxKeys {
		chain := Chain{PartKey(fmt.Sprint("part", i%300)), PartKey(fmt.Sprint("inner", i%700)), RequestKey("o", fmt.Sprint(i), nil)}
		e.strike(g, chain, 1, time.Millisecond)
		if i < 120 {
			e.strike(g, chain, 3, 50*time.Millisecond)
		}
	}
	late := Chain{RequestKey("o", "/late", nil)}
	e.strike(g, late, 2, time.Second)
	d, ok := g.Draft(Record{}, e.clock, e.now)
	is.True(ok)
	t.Logf("%d keys, %d crashes, %d bytes", len(d.Record.Keys), len(d.Record.Crashes), len(d.Data))
	is.True(len(d.Data) <= maxRecordBytes)
	is.True(len(d.Record.Keys) > maxRecordKeys/2)
	is.Equal(e.startedWith(t, d.Data, time.Second).Strikes(late[0]), 2)
	g.NoteRecorded(d)
	is.True(!g.HasUnrecorded(e.now)) // what has no room causes no writes
}

// Fails if a running node takes times of crashes from the record, which are less exact than a peer's, or
// if it writes a record without the crashes that it does not know.
func TestRunningNodeTakesNoTimesFromTheRecord(t *testing.T) {
	is := is.New(t)
	e, g, other := newRecordEnv(), New(), New()
	chain := Chain{RequestKey("o", "/", nil)}
	e.strike(other, chain, 2, time.Second)
	e.write(t, other)
	e.strike(g, chain, 1, time.Second)
	held, err := DecodeRecord(e.data)
	is.NoErr(err)
	g.MergeRecord(held, e.clock, false, e.now)
	is.Equal(g.Strikes(chain[0]), 1)
	e.write(t, g)
	is.Equal(e.startedWith(t, e.data, time.Second).Strikes(chain[0]), 3)
}

// Fails if a node that starts forgets what its peers know of convictions after ten minutes.
func TestStartedNodeKeepsOlderConvictionsOfItsPeers(t *testing.T) {
	is := is.New(t)
	e, peer, g := newRecordEnv(), New(), New()
	chain := Chain{RequestKey("o", "/", nil)}
	e.strike(peer, chain, 3, time.Second)
	is.Equal(len(peer.Convicted(chain, e.now)), 1)
	e.now = e.now.Add(time.Hour)
	g.Merge(peer.Report(e.now), e.now)
	is.Equal(len(g.Convicted(chain, e.now)), 1)
}
