package relay

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// path is a link to an upstream that has failed, as far as peers can tell not for the upstream's
// fault.
type path struct {
	// since is when the first direct connection that failed was begun.
	since time.Time
	// unanswered is set if the latest one got no answer, as opposed to a refusal.
	unanswered bool
	// confirmed is set once a peer has reached the upstream meanwhile. Without that, the
	// upstream itself may be silent for a moment.
	confirmed bool
	// probes is the number of direct connections since; the next may begin at nextProbe.
	probes    int
	nextProbe time.Time
	// askAfter is when peers may be asked again; none could help before.
	askAfter time.Time
	usedAt   time.Time
}

// paths holds the state of this node's links to upstreams. Only links that have failed have an
// entry. It does no I/O and is safe for concurrent use.
type paths struct {
	// aliveAt is when an upstream last answered on a direct connection, in Unix nanoseconds.
	aliveAt atomic.Int64

	mu     sync.Mutex
	byAddr map[string]*path
	// downUntil holds the upstreams that a peer did not reach either.
	downUntil map[string]time.Time
	// failing holds upstreams to which direct connections have failed since the last one that
	// was opened.
	failing map[string]struct{}
	// checkedAt is when silent upstreams were last checked. checks bounds such checks while
	// no link is lost.
	checkedAt map[string]time.Time
	checks    *rate.Limiter
	// allLostSince is when all links were found to be lost; zero while they are not.
	allLostSince time.Time
	// nextProbe is when an upstream without an entry may be tried directly while all links
	// are lost.
	nextProbe time.Time
}

const (
	// minLostPaths is the number of upstreams whose links are lost, with no sign of life of any
	// other, from which all links count as lost.
	minLostPaths = 3
	// aliveFor is how long a sign of life shows that this node's links work.
	aliveFor = 500 * time.Millisecond
	// askInterval is the pause before peers are asked again about an upstream with which none
	// could help.
	askInterval = 300 * time.Millisecond
	// pathTTL is how long a lost link is remembered unused.
	pathTTL = 30 * time.Second
	// maxPaths bounds the upstreams that are remembered as down or checked.
	maxPaths = 4096
	// checkInterval is the pause between two checks of a silent upstream.
	checkInterval = 3 * time.Second
	// checksPerSecond and checksAtOnce bound the checks of silent upstreams while no link is
	// lost. They cover the number of lost links from which all count as lost.
	checksPerSecond = 1
	checksAtOnce    = minLostPaths + 1
)

func newPaths() *paths {
	return &paths{
		byAddr: map[string]*path{}, downUntil: map[string]time.Time{}, checkedAt: map[string]time.Time{}, failing: map[string]struct{}{},
		checks: rate.NewLimiter(checksPerSecond, checksAtOnce),
	}
}

// plan is how an upstream is connected to: directly, through a peer, or both. With direct and
// relay, first is the way that is tried at once.
type plan struct {
	direct, relay bool
	relayFirst    bool
}

// plan returns how to connect to an upstream now. A plan with a direct way and relayFirst is a
// probe of a lost link.
func (p *paths) plan(addr string, now time.Time) plan {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.byAddr[addr]; e != nil {
		e.usedAt = now
		due := !now.Before(e.nextProbe)
		if due {
			e.scheduleProbe(now)
		}
		return plan{direct: due, relay: !now.Before(e.askAfter), relayFirst: true}
	}
	if !p.allLostSince.IsZero() {
		due := !now.Before(p.nextProbe)
		if due {
			p.nextProbe = now.Add(jittered(minProbeInterval))
		}
		return plan{direct: due, relay: true, relayFirst: true}
	}
	return plan{direct: true, relay: now.After(p.downUntil[addr])}
}

// scheduleProbe sets when the next direct connection may begin. Jitter spreads the probes of
// many nodes whose links return together.
func (e *path) scheduleProbe(now time.Time) {
	e.nextProbe = now.Add(jittered(min(minProbeInterval<<min(e.probes, 8), maxProbeInterval)))
	e.probes++
}

// jittered returns a random duration from d/2 to 3d/2.
func jittered(d time.Duration) time.Duration { return d/2 + rand.N(d) }

// noteAlive records that an upstream has answered on a direct connection.
func (p *paths) noteAlive(now time.Time) { p.aliveAt.Store(now.UnixNano()) }

// isAlive reports whether an upstream has answered on a direct connection a moment ago.
func (p *paths) isAlive(now time.Time) bool {
	return now.UnixNano()-p.aliveAt.Load() <= int64(aliveFor)
}

// noteConnected records that a direct connection was opened. It returns for how long the link
// was lost, and whether all were; 0 and false if they were not.
func (p *paths) noteConnected(addr string, now time.Time) (lostFor time.Duration, all bool) {
	p.noteAlive(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.downUntil, addr)
	clear(p.failing)
	if e := p.byAddr[addr]; e != nil {
		lostFor = now.Sub(e.since)
		delete(p.byAddr, addr)
	}
	if !p.allLostSince.IsZero() {
		lostFor, all = max(lostFor, now.Sub(p.allLostSince)), true
		p.allLostSince = time.Time{}
		for _, e := range p.byAddr {
			e.probes = 0
			e.scheduleProbe(now) // the other links are probably back as well
		}
	}
	return lostFor, all
}

// noteFailed records that a direct connection has failed for any reason.
func (p *paths) noteFailed(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.failing) < minLostPaths {
		p.failing[addr] = struct{}{}
	}
}

// isWitness reports whether a failed direct connection of this node says anything about the
// upstream. It does not if connections to several upstreams have failed and none was opened
// since, or if one was not answered and no upstream has sent anything a moment ago either.
func (p *paths) isWitness(refused bool, now time.Time) bool {
	if !refused && !p.isAlive(now) {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.failing) < minLostPaths
}

// noteLost records that a direct connection that was begun at a time has failed, while a peer
// reached the upstream if confirmed is set, else without any peer that could tell. It reports
// whether the loss is newly confirmed, and whether all links count as lost from now on.
func (p *paths) noteLost(addr string, began time.Time, unanswered, confirmed bool, now time.Time) (first, all bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.byAddr[addr]
	if e == nil {
		p.expire(now)
		e = &path{since: began, nextProbe: now}
		p.byAddr[addr] = e
		e.scheduleProbe(now)
	}
	first = confirmed && !e.confirmed
	e.confirmed = e.confirmed || confirmed
	e.unanswered, e.usedAt = unanswered, now
	if p.allLostSince.IsZero() && p.unansweredSinceAlive() >= minLostPaths {
		p.allLostSince, all = now, true
	}
	return first, all
}

// unansweredSinceAlive returns the number of lost links that have given no answer although no
// upstream has answered since either.
func (p *paths) unansweredSinceAlive() (count int) {
	alive := time.Unix(0, p.aliveAt.Load())
	for _, e := range p.byAddr {
		if e.unanswered && e.since.After(alive) {
			count++
		}
	}
	return count
}

// expire drops links that have not been used for long. The caller holds mu.
func (p *paths) expire(now time.Time) {
	for addr, e := range p.byAddr {
		if now.Sub(e.usedAt) > pathTTL {
			delete(p.byAddr, addr)
		}
	}
}

// noteUnhelped records that no peer could help with a lost link.
func (p *paths) noteUnhelped(addr string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.byAddr[addr]; e != nil {
		e.askAfter = now.Add(askInterval)
	}
}

// noteDown records that neither this node nor a peer reached the upstream.
func (p *paths) noteDown(addr string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.downUntil) >= maxPaths {
		clear(p.downUntil)
	}
	p.downUntil[addr] = now.Add(downFor)
}

// isLost reports whether this node's link to the upstream is lost.
func (p *paths) isLost(addr string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.byAddr[addr] != nil || !p.allLostSince.IsZero()
}

// lost returns the number of lost links.
func (p *paths) lost() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.byAddr)
}

// allLost reports whether all links count as lost.
func (p *paths) allLost() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.allLostSince.IsZero()
}

// unanswered returns the upstreams whose direct connections get no answer although a peer
// reaches them. all is set if that holds for one of them and all links count as lost.
func (p *paths) unanswered() (addrs []string, all bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, e := range p.byAddr {
		if e.unanswered && e.confirmed {
			addrs = append(addrs, addr)
		}
	}
	return addrs, len(addrs) > 0 && !p.allLostSince.IsZero()
}

// mayCheck reports whether the link to a silent upstream may be checked now. Links that are
// known to be lost are probed instead.
func (p *paths) mayCheck(addr string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byAddr[addr] != nil || now.Sub(p.checkedAt[addr]) < checkInterval {
		return false
	}
	if len(p.byAddr) == 0 && !p.checks.AllowN(now, 1) {
		return false
	}
	if len(p.checkedAt) >= maxPaths {
		clear(p.checkedAt)
	}
	p.checkedAt[addr] = now
	return true
}
