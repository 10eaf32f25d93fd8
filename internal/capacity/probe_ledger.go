package capacity

import (
	"encoding/binary"
	"runtime"
	"time"

	"github.com/google/uuid"

	"github.com/hickorybank/hickorybank/internal/ledger/bill"
	"github.com/hickorybank/hickorybank/internal/ledger/claim"
	"github.com/hickorybank/hickorybank/internal/ledger/fate"
	"github.com/hickorybank/hickorybank/internal/ledger/key"
	"github.com/hickorybank/hickorybank/internal/ledger/rank"
	"github.com/hickorybank/hickorybank/internal/request"
)

var batchSizes = []int{2, 8, 32, 128, 512}

func ledgerProbes() []Probe {
	return []Probe{
		{
			Slope: Slope{Name: "claim.batch", What: "a batch of claims and its settlement: Add, Ready, Encode, WriteDone", Per: "claims in the batch", Unit: Nanoseconds},
			Sizes: batchSizes, QuickSizes: []int{8, 128}, Measure: measureClaimBatch,
		},
		{
			Slope: Slope{Name: "claim.row.bytes", What: "a row of claims in the table", Per: "claims in the row", Unit: Bytes},
			Sizes: batchSizes, QuickSizes: []int{8, 128}, Measure: func(_ Meter, n int) (float64, error) { return rowBytes(claimEntries(0, n)) },
		},
		{
			Slope: Slope{Name: "claim.settle.bytes", What: "a row of settlements with bills and answers of 200 B", Per: "settlements in the row", Unit: Bytes},
			Sizes: batchSizes, QuickSizes: []int{8, 128}, Measure: func(_ Meter, n int) (float64, error) { return rowBytes(settleEntries(0, n)) },
		},
		{
			Slope: Slope{Name: "claim.heap", What: "the heap of a log's index", Per: "keys kept", Unit: Bytes},
			Sizes: []int{1000, 10_000, 100_000}, QuickSizes: []int{1000, 10_000}, Measure: measureClaimHeap,
		},
		{
			Slope: Slope{Name: "claim.read", What: "a log read whole before its first claim: Decode, RowsRead", Per: "keys in it", Unit: Nanoseconds},
			Sizes: []int{100, 1000, 10_000}, QuickSizes: []int{100, 1000}, Measure: measureClaimRead,
		},
		{
			Slope: Slope{Name: "bill.pack", What: "a batch of bills packed, encoded, decoded", Per: "bills", Unit: Nanoseconds},
			Sizes: batchSizes, QuickSizes: []int{8, 128}, Measure: measureBillPack,
		},
		{
			Slope: Slope{Name: "bill.bytes", What: "a batch of bills as it travels and is stored", Per: "bills", Unit: Bytes},
			Sizes: batchSizes, QuickSizes: []int{8, 128}, Measure: func(_ Meter, n int) (float64, error) { return gobSize(bill.Pack(bills(0, n))) },
		},
		{
			Slope: Slope{Name: "bill.heap", What: "the heap of bills held", Per: "bills", Unit: Bytes},
			Sizes: []int{1000, 10_000, 100_000}, QuickSizes: []int{1000, 10_000}, Measure: func(m Meter, n int) (float64, error) {
				return m.Heap(func() any { return bills(0, n) }), nil
			},
		},
		{
			Slope: Slope{Name: "rank.first", What: "the holder of a duty by rendezvous hashing", Per: "entry nodes", Unit: Nanoseconds},
			Sizes: []int{8, 32, 128, 1600}, QuickSizes: []int{8, 128}, Measure: measureRank,
		},
	}
}

// uuid7 returns the i-th UUIDv7 of a fixed sequence.
func uuid7(i int) uuid.UUID { return uuid7At(start.Add(time.Duration(i)*time.Millisecond), i) }

// uuid7At returns a UUIDv7 with the given time.
func uuid7At(at time.Time, i int) uuid.UUID {
	var u uuid.UUID
	ms := uint64(at.UnixMilli())
	binary.BigEndian.PutUint64(u[:8], ms<<16)
	u[6] = 0x70
	binary.BigEndian.PutUint64(u[8:], splitMix64(uint64(i)))
	u[8] = u[8]&0x3f | 0x80
	return u
}

// splitMix64 is the finaliser of SplitMix64.
func splitMix64(z uint64) uint64 {
	z += 0x9e3779b97f4a7c15
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

func bills(from, n int) []bill.Bill {
	list := make([]bill.Bill, n)
	for i := range list {
		draw := splitMix64(uint64(from + i))
		list[i] = bill.Bill{
			Org: orgName(int(draw % activeOrgs)), Key: uuid7(from + i).String(), Class: className(int(draw % docClasses)),
			Version: versionName(int(draw % docVersions)), Cost: int64(draw % 100_000),
			InputTokens: int64(draw % 4000), OutputTokens: int64(draw % 640), At: start.Add(time.Duration(from+i) * time.Millisecond),
		}
	}
	return list
}

func claimEntries(from, n int) []claim.Entry {
	list := make([]claim.Entry, n)
	for i := range list {
		k := uuid7(from + i).String()
		list[i] = claim.Entry{
			Kind: claim.KindClaim, ID: key.NewID(orgName(0), k), Attempt: key.ID(uuid7(1<<24 + from + i)),
			Print: request.NewFingerprint(orgName(0), []byte(k)), Node: "entry-00000/1800000000000000000", At: start.UnixMilli() + int64(i),
		}
	}
	return list
}

func settleEntries(from, n int) []claim.Entry {
	list := claimEntries(from, n)
	costs := bills(from, n)
	for i := range list {
		e := &list[i]
		e.Kind, e.Node, e.Print = claim.KindSettle, "", request.Fingerprint{}
		e.Outcome, e.Answer, e.Bill = request.Completed, make([]byte, 200), &costs[i]
	}
	return list
}

func rowBytes(entries []claim.Entry) (float64, error) {
	row := claim.Row{Writer: "entry-00000/1800000000000000000", Number: 1, Entries: entries}
	data, err := row.Encode()
	return float64(len(data)), err
}

func newLog() *claim.Log {
	return claim.NewLog(key.Log{Kind: key.Timed}, claim.LogSettings{Writer: "entry-00000/1", MaxEntries: 1 << 20, MaxBytes: 1 << 30}, nil)
}

// commitRow encodes the log's next row and reports it as written.
func commitRow(l *claim.Log, now time.Time) error {
	r := l.Ready(now)
	if r.Read != nil {
		l.RowsRead(new(claim.Floor), nil, false)
		r = l.Ready(now)
	}
	if r.Create == nil {
		return nil
	}
	if _, err := r.Create.Row.Encode(); err != nil {
		return err
	}
	l.WriteDone(now, fate.Applied)
	l.Ready(now)
	return nil
}

func measureClaimBatch(m Meter, size int) (float64, error) {
	var failed error
	from := 0
	return m.CPU(func(n int) {
		l := newLog()
		for range n {
			for _, entries := range [][]claim.Entry{claimEntries(from, size), settleEntries(from, size)} {
				for i := range entries {
					l.Add(start, claim.Op{Number: uint64(i), Entry: entries[i], Deadline: start.Add(time.Hour)})
				}
				if err := commitRow(l, start); err != nil {
					failed = err
				}
			}
			from += size
		}
	}), failed
}

func measureClaimHeap(m Meter, keys int) (float64, error) {
	rows := []claim.StoredRow{{Row: claim.Row{Entries: claimEntries(0, keys)}}}
	v := m.Heap(func() any {
		l := newLog()
		l.RowsRead(new(claim.Floor), rows, false)
		return l
	})
	runtime.KeepAlive(rows)
	return v, nil
}

func measureClaimRead(m Meter, keys int) (float64, error) {
	row := claim.Row{Writer: "entry-00000/1", Entries: claimEntries(0, keys)}
	data, err := row.Encode()
	if err != nil {
		return 0, err
	}
	return m.CPU(func(n int) {
		for range n {
			read, failed := claim.Decode(data)
			if failed != nil {
				err = failed
				return
			}
			newLog().RowsRead(new(claim.Floor), []claim.StoredRow{{Row: read}}, false)
		}
	}), err
}

func measureBillPack(m Meter, size int) (float64, error) {
	list := bills(0, size)
	var failed error
	return m.CPU(func(n int) {
		for range n {
			c := bill.Pack(list)
			if _, err := gobSize(c); err != nil {
				failed = err
			}
			if _, err := c.Unpack(); err != nil {
				failed = err
			}
		}
	}), failed
}

func measureRank(m Meter, nodes int) (float64, error) {
	vms := fleet(nodes, 0, domainsOf(nodes))
	return m.CPU(func(n int) {
		for range n {
			rank.First("claims/t/000001", vms, 1)
		}
	}), nil
}
