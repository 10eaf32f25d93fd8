package confsync

import (
	"math/rand/v2"
	"time"
)

const (
	// maxReads bounds the reads of the head in flight: a slow table is read
	// again before the last answer, so that proofs stay young.
	maxReads = 4
	// pokeGap is the least time between the starts of two reads.
	pokeGap = 50 * time.Millisecond
	// rescueGap is the time between two reads by nodes of a failure domain
	// that are no readers but found no peer with a young proof, counted over
	// all of them: few enough for the table when a whole fleet is cut off.
	rescueGap = 250 * time.Millisecond
)

// reading schedules the reads of the head row.
type reading struct {
	random *rand.Rand
	next   time.Duration
	last   time.Duration
	// provedAt is the start of the last read that was answered, if any.
	proved   bool
	provedAt time.Duration
	// sent are the reads in flight.
	sent []sentRead
}

type sentRead struct {
	token Token
	at    time.Duration
}

func newReading(seed uint64, now time.Duration) reading {
	return reading{random: rand.New(rand.NewPCG(seed, 0)), next: now}
}

func (r *reading) poke(now time.Duration) { r.next = min(r.next, max(now, r.last+pokeGap)) }

// take removes a read in flight; ok is false for one that timed out before.
func (r *reading) take(t Token) (at time.Duration, ok bool) {
	for i, s := range r.sent {
		if s.token == t {
			r.sent = append(r.sent[:i], r.sent[i+1:]...)
			return s.at, true
		}
	}
	return 0, false
}

func (c *Core) readFailed(t Token) {
	if at, ok := c.reading.take(t); ok {
		c.trying.fail(at)
	}
}

// begin notes a read that starts now and spreads the next one.
func (r *reading) begin(t Token, now, gap time.Duration) {
	r.sent = append(r.sent, sentRead{token: t, at: now})
	r.last = now
	spread := time.Duration(r.random.Int64N(int64(gap/4) + 1))
	r.next = now + gap - gap/8 + spread
}

func (c *Core) driveReads(now time.Duration) {
	if now < c.reading.next || len(c.reading.sent) >= maxReads {
		return
	}
	gap, due := c.readGap(now)
	if !due {
		return
	}
	t := c.token()
	c.reading.begin(t, now, gap)
	c.decide(ReadHead{Token: t})
}

// readGap says whether this node should read the table itself and how often.
func (c *Core) readGap(now time.Duration) (time.Duration, bool) {
	if c.isReader(now) {
		return c.settings.ReadGap, true
	}
	alone := max(c.settings.ReadGap, time.Duration(len(c.roster.domain))*rescueGap)
	return alone, c.isStale(now)
}

// headRead takes an answer of the table. Its proof holds from the start of the
// read, however long the answer took.
func (c *Core) headRead(now time.Duration, e HeadRead) {
	at, ok := c.reading.take(e.Token)
	if !ok {
		return
	}
	c.reading.proved = true
	c.reading.provedAt = max(c.reading.provedAt, at)
	c.known.learn(e.Revision, now)
	c.hearTable(Proof{Revision: e.Revision, At: at, Valid: true}, now)
	c.fetch.wantFromTable(e.Revision)
}
