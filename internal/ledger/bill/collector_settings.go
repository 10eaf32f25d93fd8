package bill

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/ledger/key"
)

// CollectorSettings configure a [Collector].
type CollectorSettings struct {
	// Writer identifies this process. No other process may ever use the same name,
	// not even a restart of this one.
	Writer string
	Layout key.Layout
	// MinGap and MaxGap bound the time between two writes.
	MinGap time.Duration
	MaxGap time.Duration
	// Burst is how many writes beyond one per gap are allowed after idle time.
	Burst int
	// MaxBatch is the maximum number of bills in a row.
	MaxBatch int
	// MaxInFlight is the maximum number of writes in flight to one store, and of active
	// batches for peers.
	MaxInFlight int
	// MaxWaiting is the maximum number of bills in memory; further ones are unsafe.
	MaxWaiting int
	// TableGrace is how long a batch waits for the table alone. After that, the object
	// store is tried, too.
	TableGrace time.Duration
	// ObjectGrace is the age at which a batch that is not stored goes to peers.
	ObjectGrace time.Duration
	// GiveUp is the age at which a batch's bills are reported as unsafe.
	GiveUp time.Duration
	// Probe is how often a store that is down is tried.
	Probe time.Duration
	// Refresh is how often this process refreshes its copies at the holders.
	Refresh time.Duration
	// Copies is the required number of copies, each in another failure domain.
	Copies int
}
