package bill

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/ledger/key"
)

// CollectorSettings are the settings of a [Collector].
type CollectorSettings struct {
	// Writer identifies this process among all that write bills, ever.
	Writer string
	Layout key.Layout
	// MinGap and MaxGap bound the time between two writes.
	MinGap time.Duration
	MaxGap time.Duration
	// Burst is how many writes may go before their gap, once saved up.
	Burst int
	// MaxBatch is the most bills in a row.
	MaxBatch int
	// MaxFlights is how many writes to one store, and how many batches for
	// peers, may be on their way at one time.
	MaxFlights int
	// MaxWaiting is the most bills kept in memory; further ones are unsafe.
	MaxWaiting int
	// TableGrace is how long a batch waits for the table alone; after it the
	// object store is tried, too.
	TableGrace time.Duration
	// ObjectGrace is how long it waits for both; after it peers are asked to
	// hold copies.
	ObjectGrace time.Duration
	// GiveUp is how long a bill is waited for before it is called unsafe.
	GiveUp time.Duration
	// Probe is how often a store that is down is tried.
	Probe time.Duration
	// Refresh is how often the peers that hold copies are told that this
	// process still lives.
	Refresh time.Duration
	// Copies is in how many other failure domains a copy must be held.
	Copies int
}
