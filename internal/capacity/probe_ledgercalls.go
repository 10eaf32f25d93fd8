package capacity

import (
	"runtime"

	"github.com/hickorybank/hickorybank/internal/ledger/bill"
	"github.com/hickorybank/hickorybank/internal/ledger/key"
	"github.com/hickorybank/hickorybank/internal/ledger/wire"
	"github.com/hickorybank/hickorybank/internal/request"
)

// ledgerCallProbes measure the messages between ledgers.
func ledgerCallProbes() []Probe {
	one := []int{1}
	sizes := []int{1, 8, 64, 512}
	return []Probe{
		{
			Slope: Slope{Name: "ledger.claim", What: "a claim sent to its batcher over net/rpc, both ends", Per: "nothing", Unit: Nanoseconds},
			Sizes: one, Measure: func(m Meter, _ int) (float64, error) { return claimExchange().processor(m) },
		},
		{
			Slope: Slope{Name: "ledger.claim.bytes", What: "a claim sent to its batcher", Per: "nothing", Unit: Bytes},
			Sizes: one, Measure: func(Meter, int) (float64, error) { return claimExchange().bytes() },
		},
		{
			Slope: Slope{Name: "ledger.settle", What: "a settlement with bill and answer sent to its batcher, both ends", Per: "bytes of the answer", Unit: Nanoseconds},
			Sizes: []int{0, 200, 8000}, QuickSizes: []int{0, 200}, Measure: func(m Meter, n int) (float64, error) { return settleExchange(n).processor(m) },
		},
		{
			Slope: Slope{Name: "ledger.settle.bytes", What: "a settlement with bill and answer sent to its batcher", Per: "bytes of the answer", Unit: Bytes},
			Sizes: []int{0, 200, 8000}, QuickSizes: []int{0, 200}, Measure: func(_ Meter, n int) (float64, error) { return settleExchange(n).bytes() },
		},
		{
			Slope: Slope{Name: "ledger.collect", What: "bills sent to their collector over net/rpc, both ends", Per: "bills in the message", Unit: Nanoseconds},
			Sizes: sizes, QuickSizes: []int{1, 64}, Measure: func(m Meter, n int) (float64, error) { return collectExchange(n).processor(m) },
		},
		{
			Slope: Slope{Name: "ledger.collect.bytes", What: "bills sent to their collector", Per: "bills in the message", Unit: Bytes},
			Sizes: sizes, QuickSizes: []int{1, 64}, Measure: func(_ Meter, n int) (float64, error) { return collectExchange(n).bytes() },
		},
		{
			Slope: Slope{Name: "ledger.hold.bytes", What: "a row of bills sent to a peer that holds it", Per: "bills in the row", Unit: Bytes},
			Sizes: sizes, QuickSizes: []int{1, 64}, Measure: func(_ Meter, n int) (float64, error) { return holdExchange(n).bytes() },
		},
		{
			Slope: Slope{Name: "bill.row.heap", What: "the heap of rows of bills that are held", Per: "bills", Unit: Bytes},
			Sizes: []int{1000, 10_000, 100_000}, QuickSizes: []int{1000, 10_000}, Measure: measureRowsHeap,
		},
	}
}

// ledgerReceiver answers like a ledger with instant stores.
type ledgerReceiver struct {
	appended wire.AppendReply
	safety   []byte
}

// Append returns the prepared reply.
func (l ledgerReceiver) Append(_ *wire.AppendArgs, reply *wire.AppendReply) error {
	*reply = l.appended
	return nil
}

// Collect unpacks the bills and returns the prepared safety levels.
func (l ledgerReceiver) Collect(args *wire.CollectArgs, reply *wire.CollectReply) error {
	reply.Safety = l.safety
	_, err := args.Bills.Unpack()
	return err
}

// Hold unpacks a row and confirms that it is held.
func (l ledgerReceiver) Hold(args *wire.HoldArgs, reply *wire.HoldReply) error {
	reply.Held = true
	_, err := args.Bills.Unpack()
	return err
}

func claimExchange() exchange {
	id, attempt, print := key.NewID(orgName(0), uuid7(1).String()), uuid7(2), request.NewFingerprint(orgName(0), nil)
	args := &wire.AppendArgs{
		LogKind: byte(key.Timed), Shard: 3, Bucket: start.Unix() / 60, Kind: 1, ID: id[:], Attempt: attempt[:], Print: print[:],
		Node: "entry-00000~1800000000000000000", WaitMillis: 3000,
	}
	reply := wire.AppendReply{Verdict: 1, Print: print[:], Attempt: attempt.String(), Node: args.Node, AtMillis: start.UnixMilli()}
	return exchange{name: "Ledger", receiver: ledgerReceiver{appended: reply}, method: "Append", args: args, reply: func() any { return new(wire.AppendReply) }}
}

func settleExchange(answer int) exchange {
	id, attempt := key.NewID(orgName(0), uuid7(1).String()), uuid7(2)
	args := &wire.AppendArgs{
		LogKind: byte(key.Timed), Shard: 3, Bucket: start.Unix() / 60, Kind: 2, ID: id[:], Attempt: attempt[:],
		Outcome: request.Completed, Answer: rowOf(answer), Bill: bill.Pack(bills(0, 1)), WaitMillis: 3000,
	}
	return exchange{name: "Ledger", receiver: ledgerReceiver{appended: wire.AppendReply{Verdict: 2}}, method: "Append", args: args, reply: func() any { return new(wire.AppendReply) }}
}

func collectExchange(n int) exchange {
	args := &wire.CollectArgs{Bills: bill.Pack(bills(0, n))}
	return exchange{name: "Ledger", receiver: ledgerReceiver{safety: make([]byte, n)}, method: "Collect", args: args, reply: func() any { return new(wire.CollectReply) }}
}

func holdExchange(n int) exchange {
	args := wire.NewHoldArgs(billRow(0, n))
	return exchange{name: "Ledger", receiver: ledgerReceiver{}, method: "Hold", args: &args, reply: func() any { return new(wire.HoldReply) }}
}

func billRow(from, n int) bill.Row {
	return bill.Row{Bucket: key.Bucket{Kind: key.Timed, Number: start.Unix() / 3600}, Writer: "entry-00000~1800000000000000000", Seq: uint64(from), Bills: bill.Pack(bills(from, n))}
}

// measureRowsHeap uses rows of the size that a collector writes at the peak.
func measureRowsHeap(m Meter, n int) (float64, error) {
	const perRow = 500
	v := m.Heap(func() any {
		rows := make([]bill.Row, 0, n/perRow)
		for from := 0; from < n; from += perRow {
			rows = append(rows, billRow(from, perRow))
		}
		return rows
	})
	runtime.GC()
	return v, nil
}
