package capacity

import (
	"context"

	"github.com/hickorybank/hickorybank/internal/peer"
)

// peers connects one node's peer server with another node's pool over loopback.
type peers struct {
	server *peer.Server
	pool   *peer.Pool
	relay  *relay
}

func newPeers(name string, receiver any) (*peers, error) {
	p := &peers{server: peer.NewServer(), pool: peer.NewPool()}
	if err := p.server.Register(name, receiver); err != nil {
		return nil, err
	}
	if err := p.server.Start("127.0.0.1:0"); err != nil {
		return nil, err
	}
	relay, err := newRelay(p.server.Addr())
	if err != nil {
		p.server.Close()
		return nil, err
	}
	p.relay = relay
	return p, nil
}

func (p *peers) close() {
	p.pool.Close()
	p.relay.close()
	p.server.Close()
}

// exchange is one RPC between peers with its reply.
type exchange struct {
	name     string
	receiver any
	method   string
	args     any
	reply    func() any
}

// processor measures the processor time of a call in nanoseconds, both ends together.
func (e exchange) processor(m Meter) (float64, error) {
	p, err := newPeers(e.name, e.receiver)
	if err != nil {
		return 0, err
	}
	defer p.close()
	v := m.CPU(func(n int) {
		for range n {
			if failed := e.call(p, p.server.Addr()); failed != nil {
				err = failed
				return
			}
		}
	})
	return v, err
}

func (e exchange) call(p *peers, addr string) error {
	return p.pool.Call(context.Background(), addr, e.name+"."+e.method, e.args, e.reply())
}

// bytes returns the bytes of a call and its reply on a kept connection, without packet headers.
func (e exchange) bytes() (float64, error) {
	p, err := newPeers(e.name, e.receiver)
	if err != nil {
		return 0, err
	}
	defer p.close()
	const warm, counted = 3, 50
	for range warm {
		if err := e.call(p, p.relay.addr()); err != nil {
			return 0, err
		}
	}
	before := p.relay.bytes.Load()
	for range counted {
		if err := e.call(p, p.relay.addr()); err != nil {
			return 0, err
		}
	}
	return float64(p.relay.bytes.Load()-before) / counted, nil
}
