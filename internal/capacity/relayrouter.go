package capacity

import (
	"context"
	"io"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/api"
	"github.com/hickorybank/hickorybank/internal/config"
	"github.com/hickorybank/hickorybank/internal/lifecycle"
	"github.com/hickorybank/hickorybank/internal/request"
	"github.com/hickorybank/hickorybank/internal/upstream"
)

// singleEngineRouter sends every request to one engine and runs only the request lifecycle; other
// probes measure the other decisions.
type singleEngineRouter struct {
	snapshot *config.Snapshot
	engines  upstream.Engines
	addr     string
	requests atomic.Uint64
}

// Snapshot implements [api.Router].
func (r *singleEngineRouter) Snapshot() *config.Snapshot { return r.snapshot }

// Service implements [api.Router].
func (r *singleEngineRouter) Service(context.Context, api.ServiceCall) (upstream.ServiceAnswer, error) {
	return upstream.ServiceAnswer{}, eris.New("services are not supported by the capacity router")
}

// ResumeStream implements [api.Router].
func (r *singleEngineRouter) ResumeStream(context.Context, api.ResumeCall, request.Sink) (request.Answer, error) {
	return request.Answer{}, eris.New("resuming streams is not supported by the capacity router")
}

// CountRefusal implements [api.Router].
func (r *singleEngineRouter) CountRefusal(api.Refusal) {}

// Addresses implements [api.Router].
func (r *singleEngineRouter) Addresses(string) api.Addresses { return api.Addresses{} }

// Chat implements [api.Router].
func (r *singleEngineRouter) Chat(ctx context.Context, call api.ChatCall, sink request.Sink) (request.Answer, error) {
	request.NewFingerprint(call.Org.Name, call.Body)
	id := strconv.FormatUint(r.requests.Add(1), 10)
	chat := lifecycle.NewChat(lifecycle.ChatSettings{ID: id, Versions: []string{versionName0}, Streaming: true, MaxAttempts: 1, Deadline: time.Now().Add(time.Minute)})
	chat.Begin()
	chat.Picked("engine-00001")
	body, err := call.Fields.BodyFor(versionName0)
	if err != nil {
		return request.Answer{}, err
	}
	stream, err := r.engines.Start(ctx, r.addr, upstream.Attempt{ID: id + ".1", Version: versionName0, Body: body})
	if err != nil {
		return request.Answer{}, err
	}
	defer func() { _ = stream.Close() }()
	sink.Begin(request.Head{Version: versionName0})
	return forwardStream(chat, stream, sink)
}

func forwardStream(chat *lifecycle.Chat, stream upstream.Stream, sink request.Sink) (request.Answer, error) {
	for {
		if !stream.Ready() {
			if err := sink.Flush(); err != nil {
				return request.Answer{}, err
			}
		}
		chunk, err := stream.Next()
		if err == io.EOF {
			return request.Answer{}, io.ErrUnexpectedEOF
		}
		if err != nil {
			return request.Answer{}, err
		}
		for _, d := range chat.ChunkReceived(chunk) {
			if emit, ok := d.(lifecycle.Emit); ok {
				if err := sink.Text(emit.Seq, emit.Text); err != nil {
					return request.Answer{}, err
				}
			}
		}
		if chunk.Done {
			chat.BillDurable()
			return request.Answer{Version: versionName0, FinishReason: chunk.FinishReason, Usage: chunk.Usage}, nil
		}
	}
}
