package suspect

import (
	"fmt"
	"time"

	"github.com/hickorybank/hickorybank/internal/request"
)

// caller sends one request again and again until it completes. It gives up on a node that
// does not answer and tries another one. The caller of the crashing request stops after
// maxConviction, when its conviction may end.
type caller struct {
	w           *world
	name        string
	fingerprint request.Fingerprint
	// crasher is set if the request crashes each upstream that runs it.
	crasher  bool
	attempts []string
	lost     []time.Duration // when the request crashed an upstream
	done     bool
	refusals int
	// maxCrashDelay bounds how long an upstream runs the request before it crashes, in
	// milliseconds.
	maxCrashDelay int
	// current is the attempt that the caller waits for; answers to others are ignored.
	current string
}

// callerTimeout is how long a caller waits for an answer.
const callerTimeout = 8 * time.Second

func (w *world) addCaller(name string, crasher bool) *caller {
	c := &caller{w: w, name: name, crasher: crasher, fingerprint: request.NewFingerprint("org", []byte(name))}
	c.maxCrashDelay = 10
	if w.random.IntN(2) == 0 {
		c.maxCrashDelay = 400
	}
	w.callers = append(w.callers, c)
	w.after(w.between(0, 3000), c.send)
	return c
}

func (c *caller) send() {
	w := c.w
	if c.done || (c.crasher && w.now > maxConviction) {
		return
	}
	n := w.nodes[w.random.IntN(len(w.nodes))]
	if n.dead {
		w.after(w.between(10, 100), c.send)
		return
	}
	attempt := fmt.Sprintf("%s/%d", c.name, len(c.attempts))
	c.attempts = append(c.attempts, attempt)
	c.current = attempt
	w.after(callerTimeout, func() { c.answer(attempt, false) })
	w.do(n, func() {
		u := w.randomUpstream()
		d := n.t.AdmitAt(attempt, c.fingerprint, u.id, w.time())
		if d.Verdict == Wait {
			n.waits[attempt] = func(d Decision) { c.decided(n, u, attempt, d) }
			return
		}
		c.decided(n, u, attempt, d)
	})
}

// answer handles the end of an attempt; the caller sends again unless it has completed.
func (c *caller) answer(attempt string, completed bool) {
	if c.current != attempt {
		return
	}
	c.current = ""
	if completed {
		c.done = true
		return
	}
	maxDelay := 300
	if c.w.random.IntN(2) == 0 {
		maxDelay = 2 // faster than any message between nodes
	}
	c.w.after(c.w.between(0, maxDelay), c.send)
}

func (c *caller) decided(n *node, u *engine, attempt string, d Decision) {
	w := c.w
	if c.crasher || w.keepLog && d.Verdict == Refuse {
		w.logf("%s at %s: verdict %d convicted %v", attempt, n.id, d.Verdict, d.Convicted)
	}
	if d.Verdict == Refuse {
		c.refusals++
		w.after(w.between(200, 2000), func() { c.answer(attempt, false) })
		return
	}
	// Some time may pass between the verdict and the sending of the attempt.
	w.after(w.between(0, 20)*time.Duration(w.random.IntN(2)), func() { w.do(n, func() { c.start(n, u, attempt) }) })
}

func (c *caller) start(n *node, u *engine, attempt string) {
	w := c.w
	if !w.send(n, u, attempt, c.fingerprint, func() { c.upstreamCrashed(n, attempt) }) {
		n.t.Finished(attempt, w.time())
		w.after(w.between(1, 50), func() { c.answer(attempt, false) })
		return
	}
	if c.crasher {
		w.after(w.between(1, c.maxCrashDelay), func() { c.crashUpstream(u, attempt) })
		return
	}
	w.after(w.between(100, 3000), func() { c.complete(n, u, attempt) })
}

func (c *caller) crashUpstream(u *engine, attempt string) {
	if u.runs[attempt] == nil {
		return
	}
	c.lost = append(c.lost, c.w.now)
	c.w.logf("%s crashes %s", attempt, u.id)
	c.w.crash(u)
}

func (c *caller) complete(n *node, u *engine, attempt string) {
	if u.runs[attempt] == nil {
		return
	}
	delete(u.runs, attempt)
	c.w.do(n, func() {
		n.t.Completed(attempt, c.w.time())
		c.answer(attempt, true)
	})
}

// upstreamCrashed runs when the node finds the attempt's upstream crashed. Its caller
// gets the failure once the tracker makes it reportable.
func (c *caller) upstreamCrashed(n *node, attempt string) {
	w := c.w
	fl := n.t.flights[attempt]
	if fl == nil {
		return
	}
	n.heldFailures[attempt] = func() { c.answer(attempt, false) }
	n.t.Crashed(CrashID{Upstream: fl.upstream, Epoch: 1}, w.time())
	n.t.Finished(attempt, w.time())
}
