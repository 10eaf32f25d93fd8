package node

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/hickorybank/hickorybank/internal/platform"
	"github.com/hickorybank/hickorybank/internal/rawhttp"
)

// pathCallers are fewer than a pool's first limit, so that none waits.
const pathCallers = 24

// way is one kind of request, and how it is asked for.
type way struct {
	name   string
	pieces int
	stream bool
	burst  bool // the pieces come as fast as they can
	call   bool // of a plain service
}

// BenchmarkPath gives the processor time of a whole node's way of an answer,
// its bill included, beside a bare relay of net/http that carries the same
// answers of the upstream in the same run. What the bare sockets at both ends
// take by themselves is measured in the run too and taken off both.
func BenchmarkPath(b *testing.B) {
	for _, w := range []way{
		{name: "service", call: true},
		{name: "whole16", pieces: 16},
		{name: "stream16", pieces: 16, stream: true},
		{name: "stream64", pieces: 64, stream: true},
		{name: "burst64", pieces: 64, stream: true, burst: true},
	} {
		b.Run(w.name, func(b *testing.B) { measurePath(b, w) })
	}
}

func measurePath(b *testing.B, w way) {
	turns := make([]chan struct{}, pathCallers)
	for i := range turns {
		if w.stream && !w.burst {
			turns[i] = make(chan struct{}, 1)
		}
	}
	u := newBareUpstream(b, w.pieces, turns)
	b.Cleanup(u.Close) // runs after the fleet's, which lets the connections go
	f := newFleet(b, fleetSize{nodes: 1})
	for _, vm := range []platform.VM{u.vm(platform.RoleEngine, "bare"), u.vm(platform.RoleService, "bareservice")} {
		if err := f.store.RegisterVM(context.Background(), vm); err != nil {
			b.Fatal(err)
		}
	}
	f.await("the node knows the upstream", func() bool { return f.knows(f.nodes[0], fleetSize{nodes: 1, engines: 1, services: 1}) })
	relay, err := rawhttp.NewRelay(u.Addr())
	if err != nil {
		b.Fatal(err)
	}
	var nodeTime, relayTime, bareTime time.Duration
	b.ResetTimer()
	// In turns, so that other load on the machine meets all three alike.
	const rounds = 4
	n := max(b.N/rounds/pathCallers, 1)
	for range rounds {
		bareTime += w.measure(b, u.Addr(), turns, n)
		relayTime += w.measure(b, relay.Addr(), turns, n)
		nodeTime += w.measure(b, f.nodes[0].Addr(), turns, n)
	}
	b.StopTimer()
	each := func(d time.Duration) float64 { return float64(d.Microseconds()) / float64(rounds*n*pathCallers) }
	b.ReportMetric(0, "ns/op") // the wall clock of three ways says nothing
	b.ReportMetric(each(nodeTime-bareTime), "node-cpu-µs")
	b.ReportMetric(each(relayTime-bareTime), "relay-cpu-µs")
	b.ReportMetric(each(bareTime), "sockets-cpu-µs")
	b.ReportMetric(each(nodeTime-bareTime)/each(relayTime-bareTime), "to-relay")
	relay.Close()
}

// measure returns the processor time of n answers for each caller.
func (w way) measure(b *testing.B, addr string, turns []chan struct{}, n int) time.Duration {
	callers := make([]*rawhttp.Caller, pathCallers)
	for i := range callers {
		callers[i] = &rawhttp.Caller{Ask: []byte(w.ask(i)), Turn: turns[i], Rest: w.pieces - 1}
		if err := callers[i].Dial(addr); err != nil {
			b.Fatal(err)
		}
		defer callers[i].Close()
	}
	var failed atomic.Pointer[error]
	began := processorTime(b)
	var all conc.WaitGroup
	for _, c := range callers {
		all.Go(func() {
			for range n {
				if err := c.Run(); err != nil {
					failed.Store(&err)
					return
				}
			}
		})
	}
	all.Wait()
	if err := failed.Load(); err != nil {
		b.Fatal(*err)
	}
	return processorTime(b) - began
}

func (w way) ask(caller int) string {
	if w.call {
		return "GET /v1/services/billing/receipts/1 HTTP/1.1\r\nHost: router\r\nAuthorization: Bearer demo-cartagena\r\n\r\n"
	}
	body := fmt.Sprintf(`{"model":"dues@2","stream":%t,"messages":[{"role":"system","content":%q},{"role":"user","content":"%s%d."}]}`,
		w.stream, strings.Repeat("dossier ", 500), bareMark, caller)
	return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: router\r\nAuthorization: Bearer demo-cartagena\r\nX-Attempt-Id: a%d\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		caller, len(body), body)
}

func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
