package api

import (
	"context"
	"time"

	"github.com/hickorybank/hickorybank/internal/config"
	"github.com/hickorybank/hickorybank/internal/request"
	"github.com/hickorybank/hickorybank/internal/upstream"
)

// Router runs the requests that the API accepts.
type Router interface {
	// Snapshot returns the configuration in force at this node; nil if there is none.
	Snapshot() *config.Snapshot
	// Chat runs a chat request and writes the answer to sink. The error is a
	// *request.Failure.
	Chat(ctx context.Context, call ChatCall, sink request.Sink) (request.Answer, error)
	// ResumeStream writes the rest of a stream whose connection broke to sink.
	ResumeStream(ctx context.Context, call ResumeCall, sink request.Sink) (request.Answer, error)
	// Service makes a call of a plain service.
	Service(ctx context.Context, call ServiceCall) (upstream.ServiceAnswer, error)
	// CountRefusal counts a request that was refused and not run.
	CountRefusal(r Refusal)
	// Addresses returns the entry addresses that the caller with an IP address should
	// use.
	Addresses(caller string) Addresses
}

// ChatCall is a decoded and validated chat request.
type ChatCall struct {
	// Org is the organisation of the caller.
	Org *config.Organisation
	// Snapshot is the configuration under which the caller was authenticated.
	Snapshot *config.Snapshot
	// Key is the idempotency key; empty for none.
	Key string
	// Model is the name of a model, version or class.
	Model string
	// Class is the class from the header; empty if it is to be derived from Model.
	Class string
	// Session is the session token of an earlier answer; empty for none.
	Session string
	// WantSession requests a session token for a new session.
	WantSession bool
	// SeparateUsage requests a separate chunk with the usage at the end of a stream, as
	// stream_options.include_usage does.
	SeparateUsage bool
	// Timeout is the time limit of the request; 0 for the deadline of the class.
	Timeout time.Duration
	// Fields are the fields of the body.
	Fields request.Fields
	// Prompt is the text of the user's last message.
	Prompt string
	// PrefixHash is the hash of all messages except the last.
	PrefixHash uint64
	// MessageHashes are the hashes of the single messages, except the last.
	MessageHashes []uint64
	// Body is the body as received.
	Body []byte
}

// ResumeCall is a request for the rest of a stream.
type ResumeCall struct {
	// Org is the organisation of the caller.
	Org *config.Organisation
	// Token is the stream token that was sent at the start of the stream.
	Token string
	// After is the number of the last chunk that the caller has received.
	After int
}

// ServiceCall is a validated call of a plain service.
type ServiceCall struct {
	// Org is the organisation of the caller.
	Org *config.Organisation
	// Snapshot is the configuration under which the caller was authenticated.
	Snapshot *config.Snapshot
	// Service is the called service.
	Service *config.Service
	// Call is the declaration of the call in the configuration.
	Call *config.Call
	// Key is the idempotency key; empty for none.
	Key string
	// Timeout is the time limit of the call; 0 for the deadline of its class.
	Timeout time.Duration
	// Request is the call to send to the service.
	Request upstream.ServiceCall
}

// Addresses is the response with the entry addresses that a caller should use.
type Addresses struct {
	Addresses []string `json:"addresses"`
	// TTLMillis is how long the caller may use the response, in milliseconds.
	TTLMillis int64 `json:"ttl_ms"`
}
