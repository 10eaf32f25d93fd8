package lifecycle

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/hickorybank/hickorybank/internal/request"
	"github.com/hickorybank/hickorybank/internal/upstream"
)

// TestChatScripts runs the scripts in testdata/chat. Each command is an event of a [Chat],
// each expected output the decisions that follow.
func TestChatScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/chat", func(t *testing.T, path string) {
		var c *Chat
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "new" {
				c = NewChat(chatSettings(t, d))
				if d.HasArg("adopt") {
					return formatDecisions(c.Adopt(textArg(t, d, "adopt"), textArg(t, d, "vm"), intArg(t, d, "after")))
				}
				return formatDecisions(c.Begin())
			}
			return formatDecisions(chatEvent(t, c, d))
		})
	})
}

func chatSettings(t *testing.T, d *datadriven.TestData) ChatSettings {
	s := ChatSettings{ID: "r", MaxAttempts: 3, MaxResumes: 1, Threshold: 0.8, Streaming: d.HasArg("stream"), Resumable: d.HasArg("resumable")}
	if d.HasArg("resumes") {
		s.MaxResumes = intArg(t, d, "resumes")
	}
	var versions string
	d.ScanArgs(t, "plan", &versions)
	s.Versions = strings.Split(versions, "+")
	return s
}

func chatEvent(t *testing.T, c *Chat, d *datadriven.TestData) []Decision {
	switch d.Cmd {
	case "picked":
		return c.Picked(textArg(t, d, "vm"))
	case "none":
		return c.Refused(request.CodeNoUpstream, time.Second, "no upstream")
	case "unsent":
		return c.NotSent(request.CodeWithdrawn, 0, "withdrawn")
	case "piece":
		chunk := upstream.Chunk{Attempt: textArg(t, d, "attempt"), Seq: intArg(t, d, "seq"), Text: strings.TrimSpace(d.Input), Done: d.HasArg("done")}
		if chunk.Done {
			chunk.FinishReason = "stop"
			chunk.Usage = upstream.Usage{InputTokens: 1, OutputTokens: chunk.Seq}
		}
		return c.ChunkReceived(chunk)
	case "broke":
		return c.ConnectionFailed(textArg(t, d, "attempt"), reachArg(t, d), d.HasArg("resuming"))
	case "said-failed":
		return c.EngineFailed(textArg(t, d, "attempt"))
	case "rated":
		var score float64
		if d.HasArg("score") {
			d.ScanArgs(t, "score", &score)
		}
		return c.Rated(score, d.HasArg("score"))
	case "billed":
		return c.BillDurable()
	case "unbilled":
		return c.BillFailed()
	case "convicted":
		return c.Convicted()
	case "expired":
		return c.Expired(2 * time.Second)
	case "gone":
		return c.CallerDisconnected()
	}
	t.Fatalf("unknown command %s", d.Cmd)
	return nil
}

// TestCallScripts runs the scripts in testdata/call, with the events of a [Call].
func TestCallScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/call", func(t *testing.T, path string) {
		var c *Call
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "new" {
				c = NewCall(CallSettings{Idempotent: d.HasArg("idempotent"), Keyed: d.HasArg("keyed"), MaxAttempts: 3})
				return formatDecisions(c.Begin())
			}
			return formatDecisions(callEvent(t, c, d))
		})
	})
}

func callEvent(t *testing.T, c *Call, d *datadriven.TestData) []Decision {
	answer := upstream.ServiceAnswer{Status: http.StatusOK, Body: []byte("ok")}
	switch d.Cmd {
	case "claimed":
		return c.Claimed()
	case "claim-failed":
		return c.ClaimFailed(&request.Failure{Code: request.CodeDuplicate, Message: "runs elsewhere", Outcome: request.Unknown})
	case "replay":
		return c.Replay(answer)
	case "picked":
		return c.Picked(textArg(t, d, "vm"))
	case "none":
		return c.Refused(request.CodeNoUpstream, time.Second, "no upstream")
	case "answered":
		if d.HasArg("status") {
			answer.Status = intArg(t, d, "status")
		}
		return c.Answered(answer)
	case "failed":
		return c.SendFailed(reachArg(t, d))
	case "settled":
		return c.Settled(true)
	case "unsettled":
		return c.Settled(false)
	case "billed":
		return c.Billed(true)
	case "unbilled":
		return c.Billed(false)
	case "expired":
		return c.Expired(2 * time.Second)
	case "gone":
		return c.CallerDisconnected()
	}
	t.Fatalf("unknown command %s", d.Cmd)
	return nil
}

func textArg(t *testing.T, d *datadriven.TestData, key string) string {
	var s string
	d.ScanArgs(t, key, &s)
	return s
}

func intArg(t *testing.T, d *datadriven.TestData, key string) int {
	var n int
	d.ScanArgs(t, key, &n)
	return n
}

func reachArg(t *testing.T, d *datadriven.TestData) upstream.Reach {
	switch name := textArg(t, d, "reach"); name {
	case "not-sent":
		return upstream.NotSent
	case "declined":
		return upstream.Declined
	case "maybe":
		return upstream.MaybeRun
	default:
		t.Fatalf("unknown reach %s", name)
		return 0
	}
}

func formatDecisions(decisions []Decision) string {
	if len(decisions) == 0 {
		return "-\n"
	}
	var b strings.Builder
	for _, d := range decisions {
		if f, ok := d.(Fail); ok {
			fmt.Fprintf(&b, "Fail %s %s retry=%s: %s\n", f.Failure.Code, f.Failure.Outcome, f.Failure.RetryAfter, f.Failure.Message)
			continue
		}
		fmt.Fprintf(&b, "%s %+v\n", strings.TrimPrefix(fmt.Sprintf("%T", d), "lifecycle."), d)
	}
	return b.String()
}
