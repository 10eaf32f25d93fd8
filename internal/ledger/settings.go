package ledger

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/ledger/bill"
	"github.com/hickorybank/hickorybank/internal/ledger/claim"
	"github.com/hickorybank/hickorybank/internal/ledger/hold"
	"github.com/hickorybank/hickorybank/internal/ledger/key"
)

// Settings are the ledger's static settings. They must be the same on all nodes.
type Settings struct {
	// Layout is how claims and bills are distributed over logs and buckets.
	Layout key.Layout
	// ClaimWritesPerSecond bounds the table writes for claims, over all nodes. Half of
	// it is for keys that carry a time.
	ClaimWritesPerSecond float64
	// BillWritesPerSecond bounds the writes for bills, over all nodes.
	BillWritesPerSecond float64
	// BillReadsPerSecond bounds a node's reads of bills, for operators and for
	// summaries. No request waits for them, so they get a small part of the platform's
	// rate limit.
	BillReadsPerSecond float64
	// Window is how long a key is retained; an older key is refused.
	Window time.Duration
	// Skew is the maximum difference between clocks.
	Skew time.Duration
	// RunLimit is how long a claim counts as running.
	RunLimit time.Duration
	// MaxAnswer is the size of the largest answer kept with a settlement, in bytes.
	MaxAnswer int
	// HedgeAfter is how long a batcher or collector may take before this node probes
	// whether it is alive.
	HedgeAfter time.Duration
	// ClaimPatience is how long a claim is tried before it is refused.
	ClaimPatience time.Duration
	// MaxWaiting and MaxHeld bound the bills in this node's memory: those that it
	// collects for its failure domain, and those that it holds for other nodes.
	MaxWaiting int
	MaxHeld    int
	// MaxKeys bounds the number of keys of claim logs in memory.
	MaxKeys int
	// MaxSummaryKeys bounds the number of keys in memory while a bucket is summarised. A
	// bucket with more keys is divided into parts. A key takes 8 to 14 bytes.
	MaxSummaryKeys int
	// PruneAfter is how long the rows of a closed bucket stay in the table before they
	// are moved to the object store. It must be longer than Skew.
	PruneAfter time.Duration
	// Janitor is the time between two runs of the janitor, which deletes old claims
	// and summarises closed buckets.
	Janitor time.Duration
}

// DefaultSettings returns settings for 6 to 8 nodes and a table that takes 500 writes
// per second, of which the ledger uses at most 300.
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
		MaxSummaryKeys:       16_000_000,
		PruneAfter:           48 * time.Hour,
		Janitor:              time.Minute,
	}
}

const (
	maxGap          = 250 * time.Millisecond
	failAfter       = 500 * time.Millisecond
	maxRowEntries   = 2000
	maxRowBytes     = 128 << 10
	maxRowBills     = 5000
	maxInFlight     = 4
	tableGrace      = 300 * time.Millisecond
	objectGrace     = 600 * time.Millisecond
	giveUp          = 3 * time.Second
	probeInterval   = time.Second
	refreshInterval = time.Second
	ownerTimeout    = 3 * time.Second
	holdCopies      = 2
	// claimBurst and billBurst are the total bursts of writes that all logs of one
	// claim bucket, and all collectors, may have.
	claimBurst = 16
	billBurst  = 32
)

// writeGap returns the minimum time between the writes of one of several writers that
// share a budget.
func writeGap(writers int, perSecond float64) time.Duration {
	return time.Duration(float64(writers) / perSecond * float64(time.Second))
}

// billPacing returns the gap and the burst of one of several collectors. The collectors
// change with each epoch, and each new one starts with its burst available. So the
// bursts are subtracted from the rate that determines the gap.
func (s Settings) billPacing(collectors int) (time.Duration, int) {
	burst := billBurst / max(1, collectors)
	saved := float64(burst*collectors) / epoch.Seconds()
	return writeGap(collectors, max(s.BillWritesPerSecond-saved, s.BillWritesPerSecond/2)), burst
}

func (s Settings) claimLog(name key.Log, writer string, now time.Time) claim.LogSettings {
	settings := claim.LogSettings{
		Writer: writer, MaxGap: maxGap, MaxEntries: maxRowEntries, MaxBytes: maxRowBytes, FailAfter: failAfter,
	}
	half := s.ClaimWritesPerSecond / 2
	if name.Kind == key.Opaque {
		settings.Window = s.Window + s.Skew
		settings.MinGap = writeGap(s.Layout.OpaqueShards, half)
		settings.Burst = claimBurst / s.Layout.OpaqueShards
		return settings
	}
	// Older buckets only get settlements, so they are written less often the older they
	// are. Otherwise all buckets with running work would share the budget that is meant
	// for the newest one.
	age := max(0, now.UnixMilli()/s.Layout.ClaimBucket.Milliseconds()-name.Bucket)
	settings.MinGap = writeGap(s.Layout.Shards, half) * time.Duration(min(1+age, maxGapFactor))
	settings.Burst = claimBurst / s.Layout.Shards / int(min(1+age, maxGapFactor))
	return settings
}

// maxGapFactor bounds the factor by which the gap of an old bucket is wider.
const maxGapFactor = 5

func (s Settings) collector(writer string) bill.CollectorSettings {
	minGap, burst := s.billPacing(1)
	return bill.CollectorSettings{
		Writer: writer, Layout: s.Layout, MinGap: minGap, MaxGap: maxGap, Burst: burst,
		MaxBatch: maxRowBills, MaxInFlight: maxInFlight, MaxWaiting: s.MaxWaiting,
		TableGrace: tableGrace, ObjectGrace: objectGrace, GiveUp: giveUp,
		Probe: probeInterval, Refresh: refreshInterval, Copies: holdCopies,
	}
}

func (s Settings) holder() hold.Settings {
	return hold.Settings{MaxBills: s.MaxHeld, OwnerTimeout: ownerTimeout}
}
