package rollout

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/upstream"
)

// RowKey is the key of the row that holds the state of a deployment's rollouts.
const RowKey = "rollout/state"

// Record is the value of the row, stored as JSON.
type Record struct {
	// Term is the fencing token of the orders; it only grows.
	Term uint64 `json:"term"`
	// Holder is the ID of the node that drives, empty when it has released the row. Run
	// tells the processes of one VM apart.
	Holder string `json:"holder,omitempty"`
	Run    string `json:"run,omitempty"`
	// Expires is the end of the lease by the holder's clock. It is for information only:
	// no decision depends on it, since clocks differ.
	Expires time.Time `json:"expires"`
	// Orders are pending: they are written here before they are sent, and removed when
	// the engine's state shows them done.
	Orders   []Pending  `json:"orders,omitempty"`
	Versions []Progress `json:"versions,omitempty"`
}

// Pending is an order that is not known to be done. An engine has at most one.
type Pending struct {
	// Engine is the ID of the engine's VM.
	Engine  string               `json:"engine"`
	Action  upstream.OrderAction `json:"action"`
	Version string               `json:"version"`
	Since   time.Time            `json:"since"`
}

// Progress is the state of one version's rollout or withdrawal.
type Progress struct {
	Version string    `json:"version"`
	Stage   Stage     `json:"stage"`
	Share   float64   `json:"share"`
	Since   time.Time `json:"since"`
	// Wanted is how many engines should have the version, Seen how many were seen with
	// it.
	Wanted int `json:"wanted"`
	Seen   int `json:"seen"`
}

// equal reports whether both are the same order; Since tells repeated ones apart.
func (p *Pending) equal(other *Pending) bool {
	return p.Engine == other.Engine && p.Action == other.Action && p.Version == other.Version && p.Since.Equal(other.Since)
}

func (r Record) encode() []byte {
	value, err := json.Marshal(r)
	if err != nil {
		panic(err) // cannot fail: strings, finite numbers and times only
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

// loads is the number of pending loads.
func (r *Record) loads() int {
	n := 0
	for i := range r.Orders {
		if r.Orders[i].Action == upstream.LoadVersion {
			n++
		}
	}
	return n
}

// rowTime returns the time as the row stores it: without a monotonic reading, which has
// no meaning in another process.
func rowTime(t time.Time) time.Time { return t.Round(0).UTC() }
