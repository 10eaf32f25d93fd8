package api

import (
	"context"
	"time"

	"github.com/hickorybank/hickorybank/internal/config"
	"github.com/hickorybank/hickorybank/internal/request"
	"github.com/hickorybank/hickorybank/internal/upstream"
)

// Router does the work behind the interface.
type Router interface {
	// Snapshot returns the configuration in force here.
	Snapshot() *config.Snapshot
	// Chat runs model work. On failure the error is a *request.Failure.
	Chat(ctx context.Context, call ChatCall, sink request.Sink) (request.Answer, error)
	// ReadOn goes on with a stream whose connection broke.
	ReadOn(ctx context.Context, call ReadOnCall, sink request.Sink) (request.Answer, error)
	// Service runs a call of a plain service.
	Service(ctx context.Context, call ServiceCall) (upstream.ServiceAnswer, error)
	// Refused counts a request that was refused and not run.
	Refused(r Refusal)
	// Addresses returns the entry addresses that a caller should use.
	Addresses(caller string) Addresses
}

// ChatCall is a chat request as the caller sent it, decoded.
type ChatCall struct {
	Org         *config.Organisation
	Snapshot    *config.Snapshot
	Key         string
	Model       string
	Class       string // empty: derived from Model
	Session     string // token of an earlier answer, or empty
	WantSession bool
	// UsageApart asks for a chunk of its own with the usage at a stream's
	// end, as stream_options.include_usage does.
	UsageApart bool
	Timeout    time.Duration // 0: the class's deadline
	Fields     request.Fields
	Prompt     string
	PrefixHash uint64
	Body       []byte
}

// ReadOnCall asks for the rest of a stream.
type ReadOnCall struct {
	Org *config.Organisation
	// Token came with the stream's beginning.
	Token string
	// After is the number of the last piece that the caller has.
	After int
}

// ServiceCall is a call of a plain service as the caller sent it.
type ServiceCall struct {
	Org      *config.Organisation
	Snapshot *config.Snapshot
	Service  *config.Service
	Call     *config.Call
	Key      string
	Timeout  time.Duration
	Request  upstream.ServiceCall
}

// Addresses are the entry addresses to use and how long to keep the answer.
type Addresses struct {
	Addresses []string `json:"addresses"`
	TTLMillis int64    `json:"ttl_ms"`
}
