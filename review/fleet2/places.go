package fleet2

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/hickorybank/hickorybank/platform/platformtest"
)

// heartbeat is how often a runner writes its entry; a silent one is removed after three.
const heartbeat = 1200 * time.Millisecond

// Places are the places of a service, each with one runner at a time. A runner that has crashed
// is back after Down, with a new id and a new address, and its entry is removed after three
// heartbeats.
type Places struct {
	Store  *platformtest.Store
	Record *Record
	// New returns the runner for a place.
	New func(id string) *Runner
	// Crashes tells whether a request crashes the runner that begins to run it.
	Crashes func(req *http.Request) bool
	Down    time.Duration

	mu     sync.Mutex
	all    []*Runner
	starts int
	// crashed are the times of the crashes by such requests.
	crashed []time.Time
	closed  bool
}

// Start starts count runners.
func (p *Places) Start(count int) error {
	for range count {
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}

func (p *Places) start() error {
	p.mu.Lock()
	p.starts++
	r := p.New(fmt.Sprintf("i-%04d", p.starts))
	closed := p.closed
	p.mu.Unlock()
	if closed {
		return nil
	}
	r.crash = func(req *http.Request) bool {
		if p.Crashes == nil || !p.Crashes(req) {
			return false
		}
		p.mu.Lock()
		p.crashed = append(p.crashed, time.Now())
		p.mu.Unlock()
		p.crash(r)
		return true
	}
	if err := StartRunner(r, p.Record); err != nil {
		return err
	}
	r.Put(p.Store, "ready", 1)
	p.mu.Lock()
	p.all = append(p.all, r)
	p.mu.Unlock()
	p.Record.Say("runner %s starts at %s", r.ID, r.Addr())
	return nil
}

func (p *Places) crash(r *Runner) {
	p.Record.Say("runner %s crashes", r.ID)
	r.Crash()
	time.AfterFunc(3*heartbeat, func() { p.Store.Delete("servers", r.ID) })
	time.AfterFunc(p.Down, func() { _ = p.start() }) // loopback has free ports
}

// Crashed returns when runners crashed by requests.
func (p *Places) Crashed() []time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]time.Time(nil), p.crashed...)
}

// Arrivals returns the requests that have reached any runner.
func (p *Places) Arrivals() (all []Arrival) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.all {
		all = append(all, r.Arrivals()...)
	}
	return all
}

// Close ends all runners.
func (p *Places) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, r := range p.all {
		r.Close()
	}
}
