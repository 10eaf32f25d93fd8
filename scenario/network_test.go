package scenario

import "sync"

// pair is an unordered pair of processes.
type pair struct{ a, b string }

func pairOf(a, b string) pair {
	if a > b {
		a, b = b, a
	}
	return pair{a, b}
}

// link is the route from a process to one address of another process.
type link struct {
	from, to, target string
}

// network holds the relays, one for each link, and the gates, one for each pair of processes.
type network struct {
	mu     sync.Mutex
	gates  map[pair]*gate
	relays map[link]*relay
}

func newNetwork() *network {
	return &network{gates: map[pair]*gate{}, relays: map[link]*relay{}}
}

func (n *network) gate(a, b string) *gate {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.gateLocked(a, b)
}

func (n *network) gateLocked(a, b string) *gate {
	g := n.gates[pairOf(a, b)]
	if g == nil {
		g = newGate()
		n.gates[pairOf(a, b)] = g
	}
	return g
}

// route returns the relay address through which process from reaches address target of
// process to.
func (n *network) route(from, to, target string) (string, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	key := link{from, to, target}
	if r := n.relays[key]; r != nil {
		return r.addr(), nil
	}
	r, err := newRelay(target, n.gateLocked(from, to))
	if err != nil {
		return "", err
	}
	n.relays[key] = r
	return r.addr(), nil
}

// direct returns the address behind a relay, or addr itself. Callers are not cluster nodes, so
// they do not use the relays between nodes.
func (n *network) direct(addr string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	for way, r := range n.relays {
		if r.addr() == addr {
			return way.target
		}
	}
	return addr
}

func (n *network) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, r := range n.relays {
		r.close()
	}
}
