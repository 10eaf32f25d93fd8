package node

import (
	"context"
	"encoding/json"
	"time"

	"github.com/google/uuid"

	"github.com/hickorybank/hickorybank/internal/api"
	"github.com/hickorybank/hickorybank/internal/config"
	"github.com/hickorybank/hickorybank/internal/platform"
	"github.com/hickorybank/hickorybank/internal/request"
	"github.com/hickorybank/hickorybank/internal/upstream"
)

const (
	retrySoon         = time.Second
	tokensPerCostUnit = 1000
)

// Chat runs model work on the first allowed version.
func (n *Node) Chat(ctx context.Context, call api.ChatCall, sink request.Sink) (request.Answer, error) {
	version := firstAllowed(call)
	if version == nil {
		return request.Answer{}, request.Refuse(request.CodeUnknownModel, 0, "no allowed version serves "+call.Model)
	}
	vm, ok := n.pick(platform.RoleEngine, "")
	if !ok {
		return request.Answer{}, request.Refuse(request.CodeNoUpstream, retrySoon, "no upstream is known")
	}
	body, err := call.Fields.BodyFor(version.Name)
	if err != nil {
		return request.Answer{}, request.Refuse(request.CodeBadRequest, 0, err.Error())
	}
	attempt := upstream.Attempt{ID: uuid.NewString(), Version: version.Name, PrefixHash: call.PrefixHash, Body: body}
	stream, err := n.deps.Engines.Start(ctx, vm.Addr, attempt)
	if err != nil {
		return request.Answer{}, failureOf(err)
	}
	defer func() { _ = stream.Close() }()
	return n.forward(ctx, call, version, attempt.ID, stream, sink)
}

func (n *Node) forward(ctx context.Context, call api.ChatCall, v *config.Version, attempt string, stream upstream.Stream, sink request.Sink) (request.Answer, error) {
	sink.Begin(v.Name, "")
	for {
		chunk, err := stream.Next()
		if err != nil {
			return request.Answer{}, failureOf(err)
		}
		if chunk.Attempt != attempt {
			return request.Answer{}, &request.Failure{Code: request.CodeUpstreamFailed, Message: "an answer to another attempt came", Outcome: request.Unknown, RetryAfter: retrySoon}
		}
		if chunk.Text != "" {
			if err := sink.Text(chunk.Text); err != nil {
				return request.Answer{}, err
			}
		}
		if chunk.Done {
			answer := request.Answer{Version: v.Name, FinishReason: chunk.FinishReason, Usage: chunk.Usage, Cost: cost(v, chunk.Usage)}
			return answer, n.bill(ctx, call, answer)
		}
	}
}

func cost(v *config.Version, u upstream.Usage) int64 {
	return (v.InputCost*int64(u.InputTokens) + v.OutputCost*int64(u.OutputTokens)) / tokensPerCostUnit
}

type billRow struct {
	Org     string `json:"org"`
	Key     string `json:"key"`
	Version string `json:"version"`
	Cost    int64  `json:"cost"`
}

func (n *Node) bill(ctx context.Context, call api.ChatCall, a request.Answer) error {
	key := call.Key
	if key == "" {
		key = uuid.NewString()
	}
	value, err := json.Marshal(billRow{Org: call.Org.Name, Key: key, Version: a.Version, Cost: a.Cost})
	if err != nil {
		return err
	}
	row := "bills/" + call.Org.Name + "/" + key
	_, err = n.deps.Platform.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: row}},
		Writes:     []platform.Write{{Key: row, Value: value}},
	})
	if err != nil {
		return &request.Failure{Code: request.CodeLedger, Message: "the bill could not be written", Outcome: request.Unknown, RetryAfter: retrySoon}
	}
	return nil
}

func firstAllowed(call api.ChatCall) *config.Version {
	s := call.Snapshot
	name := call.Model
	if c := s.Class(name); c != nil {
		name = c.Model
	}
	if s.Version(name) != nil && s.Allowed(call.Org, name) {
		return s.Version(name)
	}
	m := s.Model(name)
	if m == nil {
		return nil
	}
	for i := range m.Versions {
		if s.Allowed(call.Org, m.Versions[i].Name) {
			return &m.Versions[i]
		}
	}
	return nil
}
