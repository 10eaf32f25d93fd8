package confsync

import (
	"math/rand/v2"
	"time"
)

const (
	// maxReads is the maximum number of reads of the head in flight. A slow table is read
	// again before the previous response, so that proofs stay recent.
	maxReads = 4
	// minReadGap is the minimum time between the starts of two reads.
	minReadGap = 50 * time.Millisecond
	// fallbackReadInterval is the mean interval between reads by all nodes of a failure
	// domain together that are not readers and found no peer with a recent proof. It limits
	// the load of the table if a whole fleet is cut off.
	fallbackReadInterval = 250 * time.Millisecond
)

// headReader schedules the reads of the head row.
type headReader struct {
	random *rand.Rand
	due    time.Duration
	last   time.Duration
	// provedAt is the start of the last successful read, if proved is set.
	proved   bool
	provedAt time.Duration
	// inFlight are the reads in flight.
	inFlight []pendingRead
}

type pendingRead struct {
	token Token
	at    time.Duration
}

func newHeadReader(seed uint64, now time.Duration) headReader {
	return headReader{random: rand.New(rand.NewPCG(seed, 0)), due: now}
}

func (r *headReader) readSoon(now time.Duration) { r.due = min(r.due, max(now, r.last+minReadGap)) }

// finish removes a read from those in flight and returns its start; ok is false if it is not
// among them.
func (r *headReader) finish(t Token) (at time.Duration, ok bool) {
	for i, s := range r.inFlight {
		if s.token == t {
			r.inFlight = append(r.inFlight[:i], r.inFlight[i+1:]...)
			return s.at, true
		}
	}
	return 0, false
}

func (c *Core) readFailed(t Token) {
	if at, ok := c.headReads.finish(t); ok {
		c.attempts.fail(at)
	}
}

// begin records a read that starts now and schedules the next one with random jitter.
func (r *headReader) begin(t Token, now, gap time.Duration) {
	r.inFlight = append(r.inFlight, pendingRead{token: t, at: now})
	r.last = now
	jitter := time.Duration(r.random.Int64N(int64(gap/4) + 1))
	r.due = now + gap - gap/8 + jitter
}

func (c *Core) readHeadIfDue(now time.Duration) {
	if now < c.headReads.due || len(c.headReads.inFlight) >= maxReads {
		return
	}
	gap, due := c.readInterval(now)
	if !due {
		return
	}
	t := c.nextToken()
	c.headReads.begin(t, now, gap)
	c.emit(ReadHead{Token: t})
}

// readInterval reports whether this node should read the table itself, and how often.
func (c *Core) readInterval(now time.Duration) (time.Duration, bool) {
	if c.isReader(now) {
		return c.settings.ReadInterval, true
	}
	fallback := max(c.settings.ReadInterval, time.Duration(len(c.roster.domain))*fallbackReadInterval)
	return fallback, c.isStale(now)
}

// headRead handles the result of a read of the head. Its proof holds from the start of the
// read, however long the response took.
func (c *Core) headRead(now time.Duration, e HeadRead) {
	at, ok := c.headReads.finish(e.Token)
	if !ok {
		return
	}
	c.headReads.proved = true
	c.headReads.provedAt = max(c.headReads.provedAt, at)
	c.state.learn(e.Revision, now)
	c.addTableProof(Proof{Revision: e.Revision, At: at, Valid: true}, now)
	c.fetches.request(e.Revision)
}
