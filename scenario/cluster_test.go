package scenario

import (
	"slices"
	"strings"
	"sync"
	"syscall"

	"github.com/rotisserie/eris"
)

const platformID = "platform"

// cluster is the processes of one scenario and the calls made to them.
type cluster struct {
	dir     string
	network *network
	relayed bool
	callers *callers

	mu     sync.Mutex
	procs  map[string]*process
	past   []*process // ended and replaced under the same name
	frozen map[string]bool
	closed []func()

	pastRuns []run // of upstreams that were killed
	marks    map[string]mark
	loads    map[string]*load
}

func newCluster(dir string) *cluster {
	return &cluster{
		dir: dir, network: newNetwork(), callers: newCallers(), procs: map[string]*process{}, frozen: map[string]bool{},
		marks: map[string]mark{}, loads: map[string]*load{},
	}
}

// start runs the product under a name.
func (c *cluster) start(id string, args ...string) (*process, error) {
	c.mu.Lock()
	old := c.procs[id]
	c.mu.Unlock()
	if old != nil && old.running() {
		return nil, eris.Errorf("%s runs already", id)
	}
	p, err := startProcess(c.dir, id, args...)
	if p == nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if old != nil {
		c.past = append(c.past, old)
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
		return nil, eris.Errorf("there is no process %s", id)
	}
	return p, nil
}

func (c *cluster) all() []*process {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := append([]*process(nil), c.past...)
	for _, p := range c.procs {
		all = append(all, p)
	}
	return all
}

// platformURL is where the named process reaches the platform.
func (c *cluster) platformURL(id string) (string, error) {
	p, err := c.process(platformID)
	if err != nil {
		return "", err
	}
	if !c.relayed {
		return "http://" + p.addrs.Main, nil
	}
	proxy := newVMProxy(c.network, id, p.addrs.Main)
	c.mu.Lock()
	c.closed = append(c.closed, proxy.Close)
	c.mu.Unlock()
	addr, err := c.network.route(id, platformID, proxy.Listener.Addr().String())
	return "http://" + addr, err
}

// entries are the entry nodes that run, by name.
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

// upstreams are the stand-in upstreams that run.
func (c *cluster) upstreams() []*process {
	return slices.DeleteFunc(c.all(), func(p *process) bool { return !p.upstream() || !p.running() })
}

// kill ends a process at once.
func (c *cluster) kill(p *process) error {
	err := c.keepRuns(p)
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

// close ends everything and returns what broke in a process, if anything.
func (c *cluster) close() error {
	for _, l := range c.loads {
		l.abandon()
	}
	c.callers.close()
	var first error
	for _, p := range c.all() {
		p.kill()
		if err := p.broken(); err != nil && first == nil {
			first = err
		}
	}
	c.network.close()
	for _, f := range c.closed {
		f()
	}
	return first
}
