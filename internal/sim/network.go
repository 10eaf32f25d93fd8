package sim

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Network connects hosts. One lock guards all of it: its work is small beside
// that of the nodes that use it.
type Network struct {
	mu      sync.Mutex
	delay   time.Duration
	random  *rand.Rand
	hosts   map[string]*Host
	observe func(from, to string, bytes int)
}

// New returns a network without hosts; delay is the time one way between two
// hosts, and seed decides what is lost.
func New(delay time.Duration, seed uint64) *Network {
	return &Network{delay: delay, random: rand.New(rand.NewPCG(seed, seed)), hosts: map[string]*Host{}}
}

// Observe has a function told of each segment that is sent from now on, by the IPs of
// its ends; it is called under the network's lock.
func (n *Network) Observe(sent func(from, to string, bytes int)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.observe = sent
}

// Host adds a host with an IP; bitsPerSecond bounds each direction of its link,
// 0 for no bound.
func (n *Network) Host(ip string, bitsPerSecond float64) *Host {
	h := &Host{net: n, ip: ip, listeners: map[int]*listener{}, nextPort: firstPort}
	h.up.bytesPerSecond = bitsPerSecond / bitsPerByte
	h.down.bytesPerSecond = bitsPerSecond / bitsPerByte
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts[ip] = h
	return h
}

const (
	bitsPerByte = 8
	// firstPort is the first port that connections are opened from.
	firstPort = 40000
)

// after runs f under the network's lock once a time has come.
func (n *Network) after(at time.Time, f func()) {
	time.AfterFunc(time.Until(at), func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		f()
	})
}

// send carries a segment from one host to another and then runs arrived, under
// the lock. What a cut holds up goes on when it is healed, as TCP sends again.
func (n *Network) send(from, to *Host, bytes int, arrived func()) {
	if n.observe != nil {
		n.observe(from.ip, to.ip, bytes)
	}
	now := time.Now()
	at := from.up.pass(now, bytes)
	if lost(n.random, from.loss+to.loss) {
		at = at.Add(resend)
	}
	n.after(at.Add(n.delay), func() { n.receive(from, to, bytes, arrived) })
}

func (n *Network) receive(from, to *Host, bytes int, arrived func()) {
	if from.cut.Out || to.cut.In {
		n.after(time.Now().Add(resend), func() { n.receive(from, to, bytes, arrived) })
		return
	}
	n.after(to.down.pass(time.Now(), bytes), arrived)
}

func tcpAddr(ip string, port int) *net.TCPAddr { return &net.TCPAddr{IP: net.ParseIP(ip), Port: port} }
