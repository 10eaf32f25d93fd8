package sim

import (
	"context"
	"net"
	"strconv"
	"sync"
	"syscall"

	"github.com/rotisserie/eris"
)

// Host is one machine on a network; it is a network.Network.
type Host struct {
	net       *Network
	ip        string
	up, down  link
	cut       Cut
	loss      float64
	listeners map[int]*listener
	nextPort  int
}

// Cut says which directions of a host's link pass nothing.
type Cut struct{ In, Out bool }

// Cut sets which directions pass nothing from now on.
func (h *Host) Cut(c Cut) {
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	h.cut = c
}

// Lose sets the share of segments that are lost from now on, 0 to 1.
func (h *Host) Lose(share float64) {
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	h.loss = share
}

// Load takes a part of both directions for other traffic, 0 to 1, from now on.
func (h *Host) Load(part float64) {
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	h.up.bytesPerSecond *= 1 - part
	h.down.bytesPerSecond *= 1 - part
}

// Carried returns the bytes that have passed the host's link so far.
func (h *Host) Carried() (in, out int64) {
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	return h.down.carried, h.up.carried
}

// Listen takes an address of this host.
func (h *Host) Listen(addr string) (net.Listener, error) {
	ip, port, err := split(addr)
	if err != nil {
		return nil, err
	}
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	if ip != h.ip || h.listeners[port] != nil {
		return nil, eris.Errorf("listen %s: not free on %s", addr, h.ip)
	}
	l := &listener{host: h, addr: tcpAddr(ip, port), arrived: sync.NewCond(&h.net.mu)}
	h.listeners[port] = l
	return l, nil
}

// synBytes is what the opening of a connection costs on a link.
const synBytes = 60

// Dial opens a connection to an address of another host, or of this one.
func (h *Host) Dial(ctx context.Context, addr string) (net.Conn, error) {
	ip, port, err := split(addr)
	if err != nil {
		return nil, err
	}
	h.net.mu.Lock()
	to := h.net.hosts[ip]
	if to == nil {
		h.net.mu.Unlock()
		return nil, &net.OpError{Op: "dial", Net: "tcp4", Err: syscall.EHOSTUNREACH}
	}
	h.nextPort++
	here, there := newPair(h, to, h.nextPort, port)
	answered := make(chan error, 1)
	h.net.send(h, to, synBytes, func() {
		l := to.listeners[port]
		if l == nil {
			h.net.send(to, h, synBytes, func() { answered <- syscall.ECONNREFUSED })
			return
		}
		l.take(there)
		h.net.send(to, h, synBytes, func() { answered <- nil })
	})
	h.net.mu.Unlock()
	select {
	case <-ctx.Done():
		_ = here.Close() // nobody waits for it any more
		return nil, &net.OpError{Op: "dial", Net: "tcp4", Addr: tcpAddr(ip, port), Err: timeout{ctx.Err()}}
	case err := <-answered:
		if err != nil {
			return nil, &net.OpError{Op: "dial", Net: "tcp4", Addr: tcpAddr(ip, port), Err: err}
		}
		return here, nil
	}
}

// timeout is the end of a wait for a connection.
type timeout struct{ error }

// Timeout marks it for net.Error.
func (timeout) Timeout() bool { return true }

func split(addr string) (string, int, error) {
	ip, text, err := net.SplitHostPort(addr)
	if err != nil {
		return "", 0, eris.Wrap(err, "address")
	}
	port, err := strconv.Atoi(text)
	if err != nil {
		return "", 0, eris.Wrap(err, "address's port")
	}
	return ip, port, nil
}
