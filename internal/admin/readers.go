package admin

import (
	"context"
	"time"
)

// Confirmer tells how far a revision is in force.
type Confirmer interface {
	Confirmations(ctx context.Context, revision uint64) (Confirmation, error)
}

// Confirmation says how far a revision is in force.
type Confirmation struct {
	Revision uint64 `json:"revision"`
	// InForce says that no node admits work under an older revision any more.
	InForce bool `json:"in_force"`
	// Members is how many entry nodes are known, Have how many of them
	// confirmed, and Needed how many must.
	Members int `json:"members"`
	Have    int `json:"have"`
	Needed  int `json:"needed"`
	// Lagging are ids of nodes that did not confirm; LaggingMore is how many
	// there are beyond those listed.
	Lagging     []string `json:"lagging,omitempty"`
	LaggingMore int      `json:"lagging_more,omitempty"`
	// SinceMillis is how long ago this node first learned of the revision.
	SinceMillis int64 `json:"since_ms"`
}

// BillReader reads the bills.
type BillReader interface {
	Bills(ctx context.Context, q BillQuery) (BillPage, error)
}

// BillQuery asks for bills by time; To is excluded.
type BillQuery struct {
	// Organisation is empty for all.
	Organisation string
	From         time.Time
	To           time.Time
	// Cursor is the Next of the page before.
	Cursor string
}

// BillPage is a part of the bills.
type BillPage struct {
	Bills []Bill `json:"bills"`
	// Next is the cursor of the next page; empty on the last.
	Next string `json:"next,omitempty"`
}

// Bill is what one completed request cost.
type Bill struct {
	Organisation string `json:"organisation"`
	Key          string `json:"key"`
	Class        string `json:"class"`
	Version      string `json:"version,omitempty"`
	Service      string `json:"service,omitempty"`
	// Cost is in micro-units of currency.
	Cost         int64     `json:"cost"`
	InputTokens  int64     `json:"input_tokens"`
	OutputTokens int64     `json:"output_tokens"`
	At           time.Time `json:"at"`
}

// NodeReader lists the entry nodes as this one sees them.
type NodeReader interface {
	Nodes(ctx context.Context) ([]Node, error)
}

// Node is an entry node.
type Node struct {
	ID            string `json:"id"`
	Address       string `json:"address"`
	Peer          string `json:"peer,omitempty"`
	FailureDomain string `json:"failure_domain"`
	State         string `json:"state"`
	// Revision is the one in force there; 0 when it is not known here.
	Revision uint64 `json:"revision"`
	Detail   string `json:"detail,omitempty"`
}

// UpstreamReader lists the upstreams that this node knows.
type UpstreamReader interface {
	Upstreams(ctx context.Context) ([]Upstream, error)
}

// Upstream is a model engine or a plain service's VM.
type Upstream struct {
	ID            string   `json:"id"`
	Kind          string   `json:"kind"`
	Service       string   `json:"service,omitempty"`
	Address       string   `json:"address"`
	FailureDomain string   `json:"failure_domain"`
	State         string   `json:"state"`
	Running       int      `json:"running"`
	Queued        int      `json:"queued"`
	Limit         int      `json:"limit"`
	Versions      []string `json:"versions,omitempty"`
	// AgeMillis is how old the load report is; -1 when there is none.
	AgeMillis int64  `json:"age_ms"`
	Detail    string `json:"detail,omitempty"`
}

// RolloutReader lists the roll-outs.
type RolloutReader interface {
	Rollouts(ctx context.Context) ([]Rollout, error)
}

// Rollout is a version's way from staged to serving.
type Rollout struct {
	Version string  `json:"version"`
	Stage   string  `json:"stage"`
	Share   float64 `json:"share"`
	// Holder is the node that drives it.
	Holder string    `json:"holder,omitempty"`
	Since  time.Time `json:"since"`
	Detail string    `json:"detail,omitempty"`
}

// HoldKeeper lists and lifts the holds of versions that turned bad.
type HoldKeeper interface {
	Holds(ctx context.Context) ([]Hold, error)
	// Lift ends one term of a version's hold; false when there is no such.
	Lift(ctx context.Context, version string, term uint64) (bool, error)
}

// Hold says that a version gets no new work until an operator lifts it.
type Hold struct {
	Version string `json:"version"`
	// Term counts the holds of the version.
	Term   uint64    `json:"term"`
	Lifted bool      `json:"lifted"`
	Reason string    `json:"reason"`
	Class  string    `json:"class,omitempty"`
	Node   string    `json:"node"`
	At     time.Time `json:"at"`
}
