package node

import (
	"context"
	"time"

	"github.com/google/uuid"

	"github.com/hickorybank/hickorybank/internal/api"
	"github.com/hickorybank/hickorybank/internal/choice"
	"github.com/hickorybank/hickorybank/internal/config"
	"github.com/hickorybank/hickorybank/internal/platform"
	"github.com/hickorybank/hickorybank/internal/request"
	"github.com/hickorybank/hickorybank/internal/streamtoken"
)

// adoption identifies a stream that was started on another connection, perhaps at another
// node, and the last chunk that the caller has received.
type adoption struct {
	attempt string
	after   int
}

// streamToken returns the token with which the caller can resume the stream through any node
// if its connection breaks.
func (r *chatRun) streamToken(session string) string {
	all := r.earlier
	all.add(r, r.machine.Runs())
	text, err := streamtoken.Seal(r.node.sealer, streamtoken.Token{
		Org: r.call.Org.Name, Key: r.key(), Digest: r.digest, Class: r.class.Name, Version: r.current.version,
		Attempt: r.current.attempt, VM: r.current.vm.ID, Session: session,
		Started: time.Now().Unix(), SpentCost: all.cost, SpentInput: all.input, SpentOutput: all.output,
	})
	if err != nil {
		panic(err) // a token of plain values always encodes
	}
	return text
}

// ResumeStream resumes a stream whose connection to the caller broke. It is not new work: the
// attempt is already running, so neither admission nor the withdrawal of its version blocks it,
// and its bill has the same key. The error is a *request.Failure.
func (n *Node) ResumeStream(ctx context.Context, call api.ResumeCall, sink request.Sink) (request.Answer, error) {
	n.running.Add(1)
	defer n.running.Add(-1)
	token, err := streamtoken.Open(n.sealer, call.Token, call.Org.Name, time.Now())
	if err != nil {
		return request.Answer{}, request.Refuse(request.CodeBadRequest, 0, "the stream token is "+err.Error())
	}
	run, fail := n.adopt(call, token, sink)
	if fail != nil {
		return request.Answer{}, fail
	}
	ctx, cancel := context.WithDeadline(ctx, run.deadline)
	defer cancel()
	answer, err := run.drive(ctx)
	run.measure(answer, err)
	return answer, err
}

func (n *Node) adopt(call api.ResumeCall, token streamtoken.Token, sink request.Sink) (*chatRun, *request.Failure) {
	snapshot := n.sync.Snapshot()
	version := snapshot.Version(token.Version)
	class := snapshot.Class(token.Class)
	if version == nil || class == nil {
		return nil, &request.Failure{Code: request.CodeUpstreamFailed, Outcome: request.Unknown, Message: "the stream's version or class has been removed"}
	}
	vm, known := n.engine(token.VM)
	if !known {
		return nil, &request.Failure{Code: request.CodeUpstreamFailed, Outcome: request.Unknown, Message: "the stream's engine is gone"}
	}
	now := time.Now()
	return &chatRun{
		node: n, sink: sink, class: class, arrived: now, deadline: now.Add(timeout(0, class)),
		call:    api.ChatCall{Org: call.Org, Snapshot: snapshot, Key: token.Key},
		digest:  token.Digest,
		plan:    choice.Plan{First: token.Version},
		session: openedSession{version: token.Version, token: token.Session},
		earlier: runTotals{cost: token.SpentCost, input: token.SpentInput, output: token.SpentOutput},
		adopted: &adoption{attempt: token.Attempt, after: call.After},
		id:      uuid.Must(uuid.NewV7()).String(),
		current: adoptedAttempt(token, version, vm, now),
	}, nil
}

func adoptedAttempt(token streamtoken.Token, version *config.Version, vm platform.VM, now time.Time) *activeAttempt {
	return &activeAttempt{attempt: token.Attempt, version: version.Name, vm: vm, began: now, adopted: true}
}

// engine finds an engine by its ID, including one that accepts no new work.
func (n *Node) engine(id string) (platform.VM, bool) {
	for _, m := range n.members.View().Engines {
		if m.ID == id {
			return m.VM, true
		}
	}
	return platform.VM{}, false
}
