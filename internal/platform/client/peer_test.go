package client

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/hickorybank/hickorybank/internal/rawhttp"
)

// fakePlatform is a server that reads and counts each request and then calls respond.
type fakePlatform struct {
	*rawhttp.Server
	respond  responder
	requests atomic.Int64
}

// responder writes the response to the n-th request, counted from 1. If it returns false,
// the connection is closed.
type responder func(n int, conn net.Conn) bool

func newFakePlatform(t *testing.T, respond responder) *fakePlatform {
	t.Helper()
	p := &fakePlatform{respond: respond}
	server, err := rawhttp.Listen(p)
	if err != nil {
		t.Fatal(err)
	}
	p.Server = server
	t.Cleanup(p.Close)
	return p
}

func (p *fakePlatform) url() string { return "http://" + p.Addr() }

// Head returns true, so that every body is read.
func (p *fakePlatform) Head(net.Conn, *http.Request) bool { return true }

// Answer counts a completely received request and responds to it.
func (p *fakePlatform) Answer(conn net.Conn, _ *http.Request, _ []byte) error {
	if !p.respond(int(p.requests.Add(1)), conn) {
		return rawhttp.ErrClose
	}
	return nil
}

// requestCount returns the number of completely received requests.
func (p *fakePlatform) requestCount() int { return int(p.requests.Load()) }
