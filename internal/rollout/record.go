package rollout

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/upstream"
)

// RowKey is the one row of a deployment's roll-outs.
const RowKey = "rollout/state"

// Record is the value of the row.
type Record struct {
	// Term is the fencing number of the orders; it only grows.
	Term uint64 `json:"term"`
	// Holder is the id of the node that drives; empty when it has released the
	// row. Run tells the processes of one VM apart.
	Holder string `json:"holder,omitempty"`
	Run    string `json:"run,omitempty"`
	// Expires is the end of the lease by the holder's clock. It only informs:
	// nothing is decided by it, since clocks differ.
	Expires time.Time `json:"expires"`
	// Orders are in hand: written here before they are sent, and taken out when
	// the engine's state shows them done.
	Orders   []Pending  `json:"orders,omitempty"`
	Versions []Progress `json:"versions,omitempty"`
}

// Pending is an order in hand. An engine has at most one.
type Pending struct {
	// Engine is the id of its VM.
	Engine  string               `json:"engine"`
	Action  upstream.OrderAction `json:"action"`
	Version string               `json:"version"`
	Since   time.Time            `json:"since"`
}

// Progress is how far one version is.
type Progress struct {
	Version string    `json:"version"`
	Stage   Stage     `json:"stage"`
	Share   float64   `json:"share"`
	Since   time.Time `json:"since"`
	// Wanted engines, and engines seen with the version.
	Wanted int `json:"wanted"`
	Seen   int `json:"seen"`
}

func (p *Pending) same(o *Pending) bool {
	return p.Engine == o.Engine && p.Action == o.Action && p.Version == o.Version && p.Since.Equal(o.Since)
}

func (r Record) encode() []byte {
	value, err := json.Marshal(r)
	if err != nil {
		panic(err) // plain strings, numbers and times
	}
	return value
}

func decodeRecord(value []byte) (Record, error) {
	var r Record
	if len(value) == 0 {
		return r, nil
	}
	if err := json.Unmarshal(value, &r); err != nil {
		return Record{}, eris.Wrap(err, "row of the roll-outs")
	}
	return r, nil
}

func (r *Record) loads() int {
	n := 0
	for i := range r.Orders {
		if r.Orders[i].Action == upstream.LoadVersion {
			n++
		}
	}
	return n
}

// stamp is the time as the row has it: without a monotonic reading, which
// means nothing to another process.
func stamp(t time.Time) time.Time { return t.Round(0).UTC() }
