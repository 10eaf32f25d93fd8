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

// pathCallers is below a pool's initial concurrency limit, so that no request is queued.
const pathCallers = 24

// workload is one kind of request.
type workload struct {
	name   string
	chunks int
	stream bool
	burst  bool // chunks are sent without a gap
	call   bool // of a plain service
}

// BenchmarkPath compares the processor time of an answer through a node, including its bill,
// with that through a plain net/http relay. Both forward the same upstream's answers in the
// same run. The processor time of the client's and upstream's sockets is measured in the same
// run and subtracted from both.
func BenchmarkPath(b *testing.B) {
	for _, w := range []workload{
		{name: "service", call: true},
		{name: "whole16", chunks: 16},
		{name: "stream16", chunks: 16, stream: true},
		{name: "stream64", chunks: 64, stream: true},
		{name: "burst64", chunks: 64, stream: true, burst: true},
	} {
		b.Run(w.name, func(b *testing.B) { measurePath(b, w) })
	}
}

func measurePath(b *testing.B, w workload) {
	turns := make([]chan struct{}, pathCallers)
	for i := range turns {
		if w.stream && !w.burst {
			turns[i] = make(chan struct{}, 1)
		}
	}
	u := newRawUpstream(b, w.chunks, turns)
	b.Cleanup(u.Close) // runs after the fleet's cleanup, which closes the connections
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
	var nodeTime, relayTime, socketTime time.Duration
	b.ResetTimer()
	// The three are measured alternately, so that other load on the machine affects all alike.
	const rounds = 4
	n := max(b.N/rounds/pathCallers, 1)
	for range rounds {
		socketTime += w.measure(b, u.Addr(), turns, n)
		relayTime += w.measure(b, relay.Addr(), turns, n)
		nodeTime += w.measure(b, f.nodes[0].Addr(), turns, n)
	}
	b.StopTimer()
	perAnswer := func(d time.Duration) float64 { return float64(d.Microseconds()) / float64(rounds*n*pathCallers) }
	b.ReportMetric(0, "ns/op") // the wall-clock time of all three together is meaningless
	b.ReportMetric(perAnswer(nodeTime-socketTime), "node-cpu-µs")
	b.ReportMetric(perAnswer(relayTime-socketTime), "relay-cpu-µs")
	b.ReportMetric(perAnswer(socketTime), "sockets-cpu-µs")
	b.ReportMetric(perAnswer(nodeTime-socketTime)/perAnswer(relayTime-socketTime), "to-relay")
	relay.Close()
}

// measure returns the total processor time of n answers to each caller.
func (w workload) measure(b *testing.B, addr string, turns []chan struct{}, n int) time.Duration {
	callers := make([]*rawhttp.Caller, pathCallers)
	for i := range callers {
		callers[i] = &rawhttp.Caller{Request: []byte(w.requestOf(i)), Release: turns[i], HeldEvents: w.chunks - 1}
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

func (w workload) requestOf(caller int) string {
	if w.call {
		return "GET /v1/services/billing/receipts/1 HTTP/1.1\r\nHost: router\r\nAuthorization: Bearer demo-cartagena\r\n\r\n"
	}
	body := fmt.Sprintf(`{"model":"dues@2","stream":%t,"messages":[{"role":"system","content":%q},{"role":"user","content":"%s%d."}]}`,
		w.stream, strings.Repeat("dossier ", 500), callerMarker, caller)
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
