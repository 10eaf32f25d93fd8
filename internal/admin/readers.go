package admin

import (
	"context"
	"time"
)

// Confirmer reads which nodes have a revision in force.
type Confirmer interface {
	Confirmations(ctx context.Context, revision uint64) (Confirmation, error)
}

// Confirmation is the result of [Confirmer]: how many nodes have confirmed a revision.
type Confirmation struct {
	Revision uint64 `json:"revision"`
	// InForce reports that no node admits requests under an older revision any more.
	InForce bool `json:"in_force"`
	// Members is the number of known entry nodes. Have is how many of them have confirmed, and
	// Needed is how many must.
	Members int `json:"members"`
	Have    int `json:"have"`
	Needed  int `json:"needed"`
	// Lagging are the ids of nodes that have not confirmed. LaggingMore is the number of such nodes
	// beyond those listed.
	Lagging     []string `json:"lagging,omitempty"`
	LaggingMore int      `json:"lagging_more,omitempty"`
	// SinceMillis is the time since this node first received the revision, in milliseconds.
	SinceMillis int64 `json:"since_ms"`
}

// BillReader reads the bills of completed requests, page by page.
type BillReader interface {
	Bills(ctx context.Context, q BillQuery) (BillPage, error)
}

// BillQuery selects the bills from From (inclusive) to To (exclusive).
type BillQuery struct {
	// Organisation is empty for all organisations.
	Organisation string
	From         time.Time
	To           time.Time
	// Cursor is the Next of the previous page; empty for the first page.
	Cursor string
}

// BillPage is one page of bills.
type BillPage struct {
	Bills []Bill `json:"bills"`
	// Next is the cursor of the next page; empty on the last.
	Next string `json:"next,omitempty"`
}

// Bill is the cost of one completed request.
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

// NodeReader lists the entry nodes in the view of this node.
type NodeReader interface {
	Nodes(ctx context.Context) ([]Node, error)
}

// Node is an entry node. Peer is its address for other nodes.
type Node struct {
	ID            string `json:"id"`
	Address       string `json:"address"`
	Peer          string `json:"peer,omitempty"`
	FailureDomain string `json:"failure_domain"`
	State         string `json:"state"`
	// Revision is the revision in force on the node; 0 if this node does not know it.
	Revision uint64 `json:"revision"`
	Detail   string `json:"detail,omitempty"`
}

// UpstreamReader lists the upstreams that this node has discovered.
type UpstreamReader interface {
	Upstreams(ctx context.Context) ([]Upstream, error)
}

// Upstream is a model engine or a plain service's VM, with its last load report.
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
	// AgeMillis is the age of the load report in milliseconds; -1 if there is none.
	AgeMillis int64  `json:"age_ms"`
	Detail    string `json:"detail,omitempty"`
}

// RolloutReader lists the rollouts of all versions.
type RolloutReader interface {
	Rollouts(ctx context.Context) ([]Rollout, error)
}

// Rollout is the progress of a version from staged to serving.
type Rollout struct {
	Version string  `json:"version"`
	Stage   string  `json:"stage"`
	Share   float64 `json:"share"`
	// Holder is the node that advances the rollout.
	Holder string    `json:"holder,omitempty"`
	Since  time.Time `json:"since"`
	Detail string    `json:"detail,omitempty"`
}

// HoldManager lists and lifts the holds of versions that turned bad.
type HoldManager interface {
	Holds(ctx context.Context) ([]Hold, error)
	// Lift ends the hold of a version with that term. It returns false if there is no such hold.
	Lift(ctx context.Context, version string, term uint64) (bool, error)
}

// Hold stops new requests to a version until an operator lifts it.
type Hold struct {
	Version string `json:"version"`
	// Term numbers the holds of the version; each new hold has a higher term.
	Term   uint64    `json:"term"`
	Lifted bool      `json:"lifted"`
	Reason string    `json:"reason"`
	Class  string    `json:"class,omitempty"`
	Node   string    `json:"node"`
	At     time.Time `json:"at"`
}
