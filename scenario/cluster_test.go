package scenario

import (
	"slices"
	"strings"
	"sync"
	"syscall"

	"github.com/rotisserie/eris"
)

const platformID = "platform"

// cluster holds the processes of one scenario, the network between them and the calls made
// to them.
type cluster struct {
	dir     string
	network *network
	relayed bool
	callLog *callLog
	callers *callTracker

	mu       sync.Mutex
	procs    map[string]*process
	replaced []*process // exited processes whose ID was reused
	frozen   map[string]bool
	closers  []func()

	savedRuns []run // of killed upstreams
	marks     map[string]mark
	loads     map[string]*load
}

func newCluster(dir string) *cluster {
	log := newCallLog(dir)
	return &cluster{
		dir: dir, network: newNetwork(), callLog: log, callers: newCallTracker(log), procs: map[string]*process{}, frozen: map[string]bool{},
		marks: map[string]mark{}, loads: map[string]*load{},
	}
}

// start starts the product as a process with the given ID.
func (c *cluster) start(id string, args ...string) (*process, error) {
	c.mu.Lock()
	old := c.procs[id]
	c.mu.Unlock()
	if old != nil && old.running() {
		return nil, eris.Errorf("process %s is already running", id)
	}
	p, err := startProcess(c.dir, id, args...)
	if p == nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if old != nil {
		c.replaced = append(c.replaced, old)
	}
	c.procs[id] = p
	delete(c.frozen, id)
	return p, err
}

func (c *cluster) process(id string) (*process, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.procs[id]
	if p == nil {
		return nil, eris.Errorf("unknown process %s", id)
	}
	return p, nil
}

func (c *cluster) all() []*process {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := append([]*process(nil), c.replaced...)
	for _, p := range c.procs {
		all = append(all, p)
	}
	return all
}

// platformURL returns the URL at which the given process reaches the platform.
func (c *cluster) platformURL(id string) (string, error) {
	p, err := c.process(platformID)
	if err != nil {
		return "", err
	}
	if !c.relayed {
		return "http://" + p.addrs.Main, nil
	}
	proxy := newVMProxy(c.network, p.addrs.Main)
	c.mu.Lock()
	c.closers = append(c.closers, proxy.Close)
	c.mu.Unlock()
	addr, err := c.network.route(id, platformID, proxy.Listener.Addr().String())
	return "http://" + addr, err
}

// entries returns the running entry nodes, sorted by ID.
func (c *cluster) entries() []*process {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*process
	for _, p := range c.procs {
		if p.entry && p.running() {
			out = append(out, p)
		}
	}
	slices.SortFunc(out, func(a, b *process) int { return strings.Compare(a.id, b.id) })
	return out
}

// upstreams returns the running stand-in upstreams.
func (c *cluster) upstreams() []*process {
	return slices.DeleteFunc(c.all(), func(p *process) bool { return !p.upstream() || !p.running() })
}

// kill sends SIGKILL to a process, after saving the runs of an upstream.
func (c *cluster) kill(p *process) error {
	err := c.saveRuns(p)
	p.kill()
	return err
}

func (c *cluster) freeze(p *process, frozen bool) error {
	s := syscall.SIGCONT
	if frozen {
		s = syscall.SIGSTOP
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.frozen[p.id] = frozen
	return p.signal(s)
}

func (c *cluster) isFrozen(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.frozen[id]
}

// close kills all processes and returns the first data race or panic found in their logs.
func (c *cluster) close() error {
	for _, l := range c.loads {
		l.abandon()
	}
	c.callers.close()
	var first error
	for _, p := range c.all() {
		p.kill()
		if err := p.crashError(); err != nil && first == nil {
			first = err
		}
	}
	c.network.close()
	for _, f := range c.closers {
		f()
	}
	return first
}
