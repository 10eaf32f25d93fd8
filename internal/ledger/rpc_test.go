package ledger

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/hickorybank/hickorybank/internal/ledger/bill"
	"github.com/hickorybank/hickorybank/internal/ledger/claim"
	"github.com/hickorybank/hickorybank/internal/peer"
	"github.com/hickorybank/hickorybank/internal/platform"
	"github.com/hickorybank/hickorybank/internal/request"
	"github.com/hickorybank/hickorybank/internal/standin/platform/fault"
	"github.com/hickorybank/hickorybank/internal/standin/platform/memory"
)

// Three ledgers call each other by net/rpc over TCP. Claims, settlements, bills and held
// copies must survive the real encoding.
func TestLedgersOverTCP(t *testing.T) {
	defer goleak.VerifyNone(t)
	is := is.New(t)
	store := memory.New()
	pool := peer.NewPool()
	var members []platform.VM
	var servers []*peer.Server
	for _, id := range []string{"a", "b", "c"} {
		server := peer.NewServer()
		is.NoErr(server.Listen("127.0.0.1:0"))
		servers = append(servers, server)
		members = append(members, platform.VM{ID: id, Role: platform.RoleEntry, Peer: server.Addr(), FailureDomain: "d" + id, State: platform.Live})
	}
	var ledgers []*Ledger
	for i, server := range servers {
		l := New(DefaultSettings(), Deps{
			Table: store, Objects: store.Objects(), Peers: pool, Self: members[i],
			Members: func() []platform.VM { return members }, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		})
		is.NoErr(l.Register(server))
		server.Serve()
		is.NoErr(l.Start())
		ledgers = append(ledgers, l)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	for i := range 12 {
		k, attempt := uuid.Must(uuid.NewV7()).String(), uuid.NewString()
		r := ClaimRequest{Org: "org", Key: k, Attempt: attempt, Fingerprint: request.NewFingerprint("org", nil)}
		got, err := ledgers[i%3].Claim(ctx, r)
		is.NoErr(err)
		is.Equal(got.State, claim.Granted)
		b := Bill{Org: "org", Key: k, Cost: 5, At: time.Now()}
		safety, err := ledgers[i%3].Settle(ctx, Settlement{Org: "org", Key: k, Attempt: attempt, Outcome: request.Completed, Answer: []byte("yes"), Bill: &b})
		is.NoErr(err)
		is.Equal(safety, bill.InTable)
		r.Attempt = uuid.NewString()
		got, err = ledgers[(i+1)%3].Claim(ctx, r)
		is.NoErr(err)
		is.Equal(got.State, claim.Settled)
		is.Equal(string(got.Record.Answer), "yes")
	}
	is.NoErr(store.SetFaults(fault.Change{Table: &fault.Fault{Down: true}, Objects: &fault.Fault{Down: true}}))
	safety, err := ledgers[0].Bill(ctx, Bill{Org: "org", Key: uuid.NewString(), Cost: 5, At: time.Now()})
	is.NoErr(err)
	is.Equal(safety, bill.InPeers)
	is.NoErr(store.SetFaults(fault.Change{Table: &fault.Fault{}, Objects: &fault.Fault{}}))
	for _, l := range ledgers {
		is.NoErr(l.Close(ctx))
	}
	pool.Close()
	for _, server := range servers {
		server.Close()
	}
}
