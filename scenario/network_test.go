package scenario

import (
	"maps"
	"net"
	"slices"
	"sync"
)

// pair is an unordered pair of processes.
type pair struct{ a, b string }

func pairOf(a, b string) pair {
	if a > b {
		a, b = b, a
	}
	return pair{a, b}
}

// link is the route to one address of a process: from one process, or from any if from is
// empty.
type link struct {
	from, to, target string
}

// network holds the relays, one for each link, and the gates, one for each pair of processes.
type network struct {
	mu     sync.Mutex
	gates  map[pair]*gate
	relays map[link]*relay
	// sources are the processes by the IP from which they connect.
	sources map[string]string
}

func newNetwork() *network {
	return &network{gates: map[pair]*gate{}, relays: map[link]*relay{}, sources: map[string]string{}}
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

// addSource records the IP from which a process connects.
func (n *network) addSource(ip, process string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sources[ip] = process
}

// sourceGate returns the gate between the process that connects from an address and process
// to.
func (n *network) sourceGate(from net.Addr, to string) *gate {
	ip, _, err := net.SplitHostPort(from.String())
	n.mu.Lock()
	defer n.mu.Unlock()
	source, ok := n.sources[ip]
	if err != nil || !ok {
		return newGate() // a caller, which is not part of the cluster
	}
	return n.gateLocked(source, to)
}

// route returns the relay address through which process from, or every process if from is
// empty, reaches address target of process to. Nodes pass addresses on to each other, so an
// address in a list must lead to the gate of the process that connects.
func (n *network) route(from, to, target string) (string, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	key := link{from, to, target}
	if r := n.relays[key]; r != nil {
		return r.addr(), nil
	}
	choose := func(source net.Addr) *gate { return n.sourceGate(source, to) }
	if from != "" {
		fixed := n.gateLocked(from, to)
		choose = func(net.Addr) *gate { return fixed }
	}
	r, err := newRelay(target, choose)
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
	relays := slices.Collect(maps.Values(n.relays))
	n.mu.Unlock() // a relay that accepts a connection asks for its gate
	for _, r := range relays {
		r.close()
	}
}
