package sim

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Network connects hosts. One lock guards all state: the simulation costs little
// compared with the nodes that use it.
type Network struct {
	mu      sync.Mutex
	delay   time.Duration
	random  *rand.Rand
	hosts   map[string]*Host
	observe func(from, to string, bytes int)
}

// New returns a network without hosts. delay is the one-way delay between any two
// hosts; seed determines which segments are lost.
func New(delay time.Duration, seed uint64) *Network {
	return &Network{delay: delay, random: rand.New(rand.NewPCG(seed, seed)), hosts: map[string]*Host{}}
}

// Observe sets a function that is called for each segment sent, with the IPs of both
// hosts and the size in bytes with headers. It runs under the network's lock.
func (n *Network) Observe(sent func(from, to string, bytes int)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.observe = sent
}

// AddHost adds a host with an IP. bitsPerSecond limits each direction of its link; 0
// means unlimited.
func (n *Network) AddHost(ip string, bitsPerSecond float64) *Host {
	h := &Host{net: n, ip: ip, listeners: map[int]*listener{}, open: map[*conn]bool{}, nextPort: firstPort}
	h.uplink.bytesPerSecond = bitsPerSecond / bitsPerByte
	h.downlink.bytesPerSecond = bitsPerSecond / bitsPerByte
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts[ip] = h
	return h
}

const (
	bitsPerByte = 8
	// firstPort precedes the local ports of outgoing connections.
	firstPort = 40000
)

// runAt runs f under the network's lock at the given time.
func (n *Network) runAt(at time.Time, f func()) {
	time.AfterFunc(time.Until(at), func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		f()
	})
}

// send transmits a segment from one host to another and then runs arrived under the
// lock. A cut delays the segment until it is lifted, as TCP would retransmit it.
func (n *Network) send(from, to *Host, bytes int, arrived func()) {
	if n.observe != nil {
		n.observe(from.ip, to.ip, bytes)
	}
	now := time.Now()
	at := from.uplink.transmit(now, bytes)
	if isLost(n.random, from.loss+to.loss) {
		at = at.Add(retransmitDelay)
	}
	n.runAt(at.Add(n.delay), func() { n.receive(from, to, bytes, arrived) })
}

// receive completes send at the receiving host; it retries while a cut blocks the path.
func (n *Network) receive(from, to *Host, bytes int, arrived func()) {
	if from.cut.Out || to.cut.In {
		n.runAt(time.Now().Add(retransmitDelay), func() { n.receive(from, to, bytes, arrived) })
		return
	}
	n.runAt(to.downlink.transmit(time.Now(), bytes), arrived)
}

func tcpAddr(ip string, port int) *net.TCPAddr { return &net.TCPAddr{IP: net.ParseIP(ip), Port: port} }
