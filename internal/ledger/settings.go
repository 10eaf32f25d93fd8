package ledger

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/ledger/bill"
	"github.com/hickorybank/hickorybank/internal/ledger/claim"
	"github.com/hickorybank/hickorybank/internal/ledger/hold"
	"github.com/hickorybank/hickorybank/internal/ledger/key"
)

// Settings are the ledger's static settings; they must be alike on all nodes.
type Settings struct {
	// Layout is how claims and bills are spread.
	Layout key.Layout
	// ClaimWritesPerSecond bounds the table writes for claims, of all nodes
	// together; half of it is for keys that carry their time.
	ClaimWritesPerSecond float64
	// BillWritesPerSecond bounds the writes for bills, of all nodes together.
	BillWritesPerSecond float64
	// BillReadsPerSecond bounds a node's reads of bills, by operators and for
	// settling. Nobody's answer waits for them, so they take a small part of
	// what the platform allows.
	BillReadsPerSecond float64
	// Window is how long a key is kept; an older key is refused.
	Window time.Duration
	// Skew is how far clocks may lie apart.
	Skew time.Duration
	// RunLimit is how long a claim counts as running.
	RunLimit time.Duration
	// MaxAnswer is the longest answer kept with a settlement, in bytes.
	MaxAnswer int
	// HedgeAfter is how long a batcher or collector may take before it is
	// asked whether it lives.
	HedgeAfter time.Duration
	// ClaimPatience is how long a claim is tried before it is refused.
	ClaimPatience time.Duration
	// MaxWaiting and MaxHeld bound the bills in this node's memory: its own
	// and its domain's, and those that it holds for others.
	MaxWaiting int
	MaxHeld    int
	// MaxKeys bounds the keys of claim logs kept in memory.
	MaxKeys int
	// MaxSettleKeys bounds the keys held in memory while bills are settled; a
	// bucket with more is cut into parts. A key takes 8 to 14 B.
	MaxSettleKeys int
	// PruneAfter is for how long the rows of a closed bucket stay in the table;
	// then they are moved to the object store. More than Skew.
	PruneAfter time.Duration
	// Janitor is how often old claims are deleted and old bills settled.
	Janitor time.Duration
}

// DefaultSettings suit 6 to 8 nodes and a table that takes 500 writes a second,
// of which the ledger uses at most 300.
func DefaultSettings() Settings {
	return Settings{
		Layout:               key.Layout{Shards: 4, OpaqueShards: 16, ClaimBucket: time.Minute, BillBucket: 5 * time.Minute},
		ClaimWritesPerSecond: 150,
		BillWritesPerSecond:  150,
		BillReadsPerSecond:   200,
		Window:               24 * time.Hour,
		Skew:                 5 * time.Minute,
		RunLimit:             15 * time.Minute,
		MaxAnswer:            8 << 10,
		HedgeAfter:           500 * time.Millisecond,
		ClaimPatience:        4 * time.Second,
		MaxWaiting:           100_000,
		MaxHeld:              200_000,
		MaxKeys:              100_000,
		MaxSettleKeys:        16_000_000,
		PruneAfter:           48 * time.Hour,
		Janitor:              time.Minute,
	}
}

const (
	maxGap        = 250 * time.Millisecond
	failAfter     = 500 * time.Millisecond
	maxRowEntries = 2000
	maxRowBytes   = 128 << 10
	maxRowBills   = 5000
	maxFlights    = 4
	tableGrace    = 300 * time.Millisecond
	objectGrace   = 600 * time.Millisecond
	giveUp        = 3 * time.Second
	probeGap      = time.Second
	refreshGap    = time.Second
	silence       = 3 * time.Second
	holdCopies    = 2
	// claimBurst and billBurst are how many writes all logs of one minute, and
	// all collectors, may save up together.
	claimBurst = 16
	billBurst  = 32
)

// gap is the least time between the writes of one of several writers that
// share a budget.
func gap(writers int, perSecond float64) time.Duration {
	return time.Duration(float64(writers) / perSecond * float64(time.Second))
}

// billGap is the gap of one collector of several, and how many writes it may
// save up. Each turn of the duty brings collectors with what they saved up while
// it was not theirs, so that is taken off what goes at a gap.
func (s Settings) billGap(collectors int) (time.Duration, int) {
	burst := billBurst / max(1, collectors)
	saved := float64(burst*collectors) / epoch.Seconds()
	return gap(collectors, max(s.BillWritesPerSecond-saved, s.BillWritesPerSecond/2)), burst
}

func (s Settings) log(name key.Log, writer string, now time.Time) claim.LogSettings {
	settings := claim.LogSettings{
		Writer: writer, MaxGap: maxGap, MaxEntries: maxRowEntries, MaxBytes: maxRowBytes, FailAfter: failAfter,
	}
	half := s.ClaimWritesPerSecond / 2
	if name.Kind == key.Opaque {
		settings.Window = s.Window + s.Skew
		settings.MinGap = gap(s.Layout.OpaqueShards, half)
		settings.Burst = claimBurst / s.Layout.OpaqueShards
		return settings
	}
	// Old buckets only get settlements, so each is written the more seldom
	// the older it is: else all buckets with running work would share what is
	// meant for the newest.
	age := max(0, now.UnixMilli()/s.Layout.ClaimBucket.Milliseconds()-name.Bucket)
	settings.MinGap = gap(s.Layout.Shards, half) * time.Duration(min(1+age, maxAge))
	settings.Burst = claimBurst / s.Layout.Shards / int(min(1+age, maxAge))
	return settings
}

// maxAge bounds by how much the gap of an old bucket is wider.
const maxAge = 5

func (s Settings) collector(writer string) bill.CollectorSettings {
	least, burst := s.billGap(1)
	return bill.CollectorSettings{
		Writer: writer, Layout: s.Layout, MinGap: least, MaxGap: maxGap, Burst: burst,
		MaxBatch: maxRowBills, MaxFlights: maxFlights, MaxWaiting: s.MaxWaiting,
		TableGrace: tableGrace, ObjectGrace: objectGrace, GiveUp: giveUp,
		Probe: probeGap, Refresh: refreshGap, Copies: holdCopies,
	}
}

func (s Settings) holder() hold.Settings {
	return hold.Settings{MaxBills: s.MaxHeld, Silence: silence}
}
