package ledger

import (
	"context"
	"encoding/gob"
	"fmt"
	"io"
	"log/slog"
	"net/rpc"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/hickorybank/hickorybank/internal/ledger/bill"
	"github.com/hickorybank/hickorybank/internal/ledger/claim"
	"github.com/hickorybank/hickorybank/internal/ledger/key"
	"github.com/hickorybank/hickorybank/internal/ledger/wire"
	"github.com/hickorybank/hickorybank/internal/peer"
	"github.com/hickorybank/hickorybank/internal/platform"
	"github.com/hickorybank/hickorybank/internal/request"
	"github.com/hickorybank/hickorybank/internal/standin/platform/memory"
)

// counter counts the bytes that net/rpc's codec would write.
type counter struct{ bytes int }

func (c *counter) Write(p []byte) (int, error) {
	c.bytes += len(p)
	return len(p), nil
}

// marginal returns the bytes of a call and its answer on a connection that has already
// carried such calls, so that gob's type descriptions are not counted.
func marginal(method string, args, reply any) float64 {
	const calls = 10
	var sent, got counter
	out, in := gob.NewEncoder(&sent), gob.NewEncoder(&got)
	first := 0
	for i := range calls + 1 {
		_ = out.Encode(&rpc.Request{ServiceMethod: method, Seq: uint64(1000 + i)})
		_ = out.Encode(args)
		_ = in.Encode(&rpc.Response{ServiceMethod: method, Seq: uint64(1000 + i)})
		_ = in.Encode(reply)
		if i == 0 {
			first = sent.bytes + got.bytes
		}
	}
	return float64(sent.bytes+got.bytes-first) / calls
}

// BenchmarkWireBytes measures the bytes of a claim, a settlement and a bill on the wire
// between two nodes, without TCP headers.
func BenchmarkWireBytes(b *testing.B) {
	e := claim.Entry{Kind: claim.KindClaim, ID: key.NewID("org", "k"), Attempt: key.AttemptID(uuid.NewString()), Node: "entry-17~" + uuid.NewString()}
	e.Print = request.Fingerprint(e.ID)
	name := key.Log{Kind: key.Timed, Shard: 3, Bucket: 28_000_000}
	args := appendArgs(name, &e, 5*time.Second)
	reply := appendReply(claim.Reply{Verdict: claim.VerdictGranted, Record: claim.Record{Attempt: e.Attempt.Attempt(), Node: e.Node, At: time.Now()}})
	b.Run("claim", func(b *testing.B) {
		for b.Loop() {
			b.ReportMetric(marginal(methodAppend, &args, &reply), "B/claim")
		}
	})
	one := billOf(newKey(), 1234)
	e.Kind, e.Print, e.Node, e.Outcome, e.Answer, e.Bill = claim.KindSettle, request.Fingerprint{}, "", request.Completed, make([]byte, 200), &one
	args = appendArgs(name, &e, 5*time.Second)
	b.Run("settlement", func(b *testing.B) {
		for b.Loop() {
			b.ReportMetric(marginal(methodAppend, &args, &reply), "B/settlement")
		}
	})
	for _, n := range []int{1, 4, 16, 64} {
		b.Run(fmt.Sprintf("bills=%d", n), func(b *testing.B) {
			bills := make([]Bill, n)
			for i := range bills {
				bills[i] = billOf(newKey(), int64(i*1000))
			}
			args := wire.CollectArgs{Bills: bill.Pack(bills)}
			reply := wire.CollectReply{Safety: make([]byte, n)}
			for b.Loop() {
				b.ReportMetric(marginal(methodCollect, &args, &reply)/float64(n), "B/bill")
			}
		})
	}
}

// pair returns two ledgers of one failure domain that call each other over TCP.
func pair(b *testing.B) (ledgers []*Ledger, stop func()) {
	store := memory.New()
	pool := peer.NewPool()
	var members []platform.VM
	var servers []*peer.Server
	for i := range 2 {
		server := peer.NewServer()
		if err := server.Listen("127.0.0.1:0"); err != nil {
			b.Fatal(err)
		}
		servers = append(servers, server)
		members = append(members, platform.VM{ID: fmt.Sprint("e", i), Role: platform.RoleEntry, Peer: server.Addr(), FailureDomain: "d", State: platform.Live})
	}
	for i, server := range servers {
		l := New(DefaultSettings(), Deps{
			Table: store, Objects: store.Objects(), Peers: pool, Self: members[i],
			Members: func() []platform.VM { return members }, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		})
		if err := l.Register(server); err != nil {
			b.Fatal(err)
		}
		server.Serve()
		_ = l.Start()
		ledgers = append(ledgers, l)
	}
	return ledgers, func() {
		for i, l := range ledgers {
			_ = l.Close(context.Background())
			servers[i].Close()
		}
		pool.Close()
	}
}

// cpu returns the processor time that this process has used.
func cpu() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkProcessorTime measures the processor time of a claim with its settlement, and
// of a bill, over TCP: of the calling node, the batcher or collector, and the stand-in
// table together. The workers simulate requests in flight.
func BenchmarkProcessorTime(b *testing.B) {
	work := map[string]func(l *Ledger){
		"bill": func(l *Ledger) {
			_, _ = l.Bill(context.Background(), billOf(newKey(), 1))
		},
		"claim+settle": func(l *Ledger) {
			k, attempt := newKey(), uuid.NewString()
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			_, _ = l.Claim(ctx, ClaimRequest{Org: "org", Key: k, Attempt: attempt})
			_, _ = l.Settle(ctx, Settlement{Org: "org", Key: k, Attempt: attempt, Outcome: request.Completed, Answer: make([]byte, 200)})
		},
	}
	for name, do := range work {
		for _, workers := range []int{8, 64, 512} {
			b.Run(fmt.Sprintf("%s/workers=%d", name, workers), func(b *testing.B) {
				ledgers, stop := pair(b)
				defer stop()
				began := cpu()
				b.ResetTimer()
				var wg sync.WaitGroup
				for w := range workers {
					wg.Go(func() {
						for i := w; i < b.N; i += workers {
							do(ledgers[0])
						}
					})
				}
				wg.Wait()
				b.ReportMetric(float64((cpu()-began).Nanoseconds())/1e3/float64(b.N), "cpu-µs/op")
			})
		}
	}
}
