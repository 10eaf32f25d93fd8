package client

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/hickorybank/hickorybank/internal/rawhttp"
)

// peer reads each request whole, counts it, and then does what the test says.
type peer struct {
	*rawhttp.Server
	reply    reply
	requests atomic.Int64
}

// reply writes the answer to the n-th request; false closes the connection.
type reply func(n int, conn net.Conn) bool

func newPeer(t *testing.T, answer reply) *peer {
	t.Helper()
	p := &peer{reply: answer}
	server, err := rawhttp.Listen(p)
	if err != nil {
		t.Fatal(err)
	}
	p.Server = server
	t.Cleanup(p.Close)
	return p
}

func (p *peer) url() string { return "http://" + p.Addr() }

// Head lets every body be read.
func (p *peer) Head(net.Conn, *http.Request) bool { return true }

// Answer counts a request that came whole.
func (p *peer) Answer(conn net.Conn, _ *http.Request, _ []byte) error {
	if !p.reply(int(p.requests.Add(1)), conn) {
		return rawhttp.ErrClose
	}
	return nil
}

// seen returns how many requests have arrived whole.
func (p *peer) seen() int { return int(p.requests.Load()) }
