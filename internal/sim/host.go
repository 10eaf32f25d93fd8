package sim

import (
	"context"
	"net"
	"strconv"
	"sync"
	"syscall"

	"github.com/rotisserie/eris"
)

// Host is one VM on a Network. It implements network.Network.
type Host struct {
	net              *Network
	ip               string
	uplink, downlink link
	cut              Cut
	loss             float64
	listeners        map[int]*listener
	nextPort         int
	// open are this host's ends of connections that are not closed.
	open map[*conn]bool
	// killed is set once the host's process has been killed.
	killed bool
}

// Cut selects the directions of a host's link that are blocked.
type Cut struct{ In, Out bool }

// SetCut blocks the given directions of the host's link and unblocks the others.
func (h *Host) SetCut(c Cut) {
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	h.cut = c
}

// Kill ends the host's process without notice: its listeners and connections are closed, and it
// opens no others. [Network.AddHost] with the same IP gives its successor a host.
func (h *Host) Kill() {
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	h.killed = true
	for _, l := range h.listeners {
		l.close()
	}
	for c := range h.open {
		c.close()
	}
}

// SetLoss sets the probability, 0 to 1, that a segment on the host's link is lost.
func (h *Host) SetLoss(share float64) {
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	h.loss = share
}

// ReduceBandwidth reserves a share, 0 to 1, of the current bandwidth of both directions
// for other traffic. Repeated calls multiply.
func (h *Host) ReduceBandwidth(part float64) {
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	h.uplink.bytesPerSecond *= 1 - part
	h.downlink.bytesPerSecond *= 1 - part
}

// Traffic returns the number of bytes, with headers, that the host's link has
// received and sent since the start.
func (h *Host) Traffic() (in, out int64) {
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	return h.downlink.bytesSent, h.uplink.bytesSent
}

// Listen opens a listener on an address of this host. It fails if the IP is not the
// host's or the port is in use.
func (h *Host) Listen(addr string) (net.Listener, error) {
	ip, port, err := splitAddr(addr)
	if err != nil {
		return nil, err
	}
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	if ip != h.ip || h.killed || h.listeners[port] != nil {
		return nil, eris.Errorf("listen %s: port in use or not an address of host %s", addr, h.ip)
	}
	l := &listener{host: h, addr: tcpAddr(ip, port), changed: sync.NewCond(&h.net.mu)}
	h.listeners[port] = l
	return l, nil
}

// synBytes is the size on a link of each packet that opens a connection.
const synBytes = 60

// Dial opens a connection to an address of any host of the network. It fails with
// EHOSTUNREACH if no host has the IP or this host's process was killed, and with ECONNREFUSED if nothing listens on the
// port. If ctx ends first, the error is a net.Error with Timeout() true.
func (h *Host) Dial(ctx context.Context, addr string) (net.Conn, error) {
	ip, port, err := splitAddr(addr)
	if err != nil {
		return nil, err
	}
	h.net.mu.Lock()
	to := h.net.hosts[ip]
	if to == nil || h.killed {
		h.net.mu.Unlock()
		return nil, &net.OpError{Op: "dial", Net: "tcp4", Err: syscall.EHOSTUNREACH}
	}
	h.nextPort++
	local, remote := newPair(h, to, h.nextPort, port)
	answered := make(chan error, 1)
	h.net.send(h, to, synBytes, func() {
		l := to.listeners[port]
		if l == nil {
			h.net.send(to, h, synBytes, func() { answered <- syscall.ECONNREFUSED })
			return
		}
		l.enqueue(remote)
		to.open[remote] = true
		if !local.closed {
			h.open[local] = true
		}
		h.net.send(to, h, synBytes, func() { answered <- nil })
	})
	h.net.mu.Unlock()
	select {
	case <-ctx.Done():
		_ = local.Close() // the caller gets no connection
		return nil, &net.OpError{Op: "dial", Net: "tcp4", Addr: tcpAddr(ip, port), Err: timeout{ctx.Err()}}
	case err := <-answered:
		if err != nil {
			return nil, &net.OpError{Op: "dial", Net: "tcp4", Addr: tcpAddr(ip, port), Err: err}
		}
		return local, nil
	}
}

// timeout wraps the error of a context that ended before a dial did.
type timeout struct{ error }

// Timeout makes the error a timeout for net.Error.
func (timeout) Timeout() bool { return true }

func splitAddr(addr string) (string, int, error) {
	ip, text, err := net.SplitHostPort(addr)
	if err != nil {
		return "", 0, eris.Wrapf(err, "address %q", addr)
	}
	port, err := strconv.Atoi(text)
	if err != nil {
		return "", 0, eris.Wrapf(err, "port of address %q", addr)
	}
	return ip, port, nil
}
