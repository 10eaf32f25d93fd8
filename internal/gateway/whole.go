package gateway

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"github.com/hickorybank/hickorybank/internal/event"
	"github.com/hickorybank/hickorybank/internal/exchange"
	"github.com/hickorybank/hickorybank/internal/fleet"
	"github.com/hickorybank/hickorybank/internal/intake"
)

// readBuffered reads an answer up to maxBufferedBytes; nil if it was truncated or is
// larger.
func (j *job) readBuffered(resp *exchange.Response) *bufferedAnswer {
	body, err := j.readAnswer(resp)
	if err != nil || len(body) > maxBufferedBytes {
		return nil
	}
	return &bufferedAnswer{status: resp.Status, header: resp.Header, body: body}
}

// readAnswer reads an answer up to a byte more than maxBufferedBytes, as far as there is memory.
func (j *job) readAnswer(resp *exchange.Response) ([]byte, error) {
	return intake.ReadWhole(io.LimitReader(resp, maxBufferedBytes+1), min(resp.Length, maxBufferedBytes+1), j.held.Reserve)
}

// forwardBuffered forwards an answer after it has arrived completely, so that a truncated
// one can be retried or shows as a failure.
func (j *job) forwardBuffered(a *attempt, resp *exchange.Response, timer *answerTimer) bool {
	defer resp.Close()
	body, err := j.readAnswer(resp)
	timer.stop()
	switch {
	case errors.Is(err, intake.ErrNoMemory):
		return j.forwardUnbuffered(a, resp, body)
	case err != nil && resp.LinkLost():
		a.unreachable = true
		a.finish(fleet.Abandoned) // the upstream may be sound
		a.leave()
		j.node.logEvent(event.ForwardAttempt, j, slog.String("upstream", a.id), slog.String("reason", "link_lost"), slog.String("err", err.Error()))
		return false
	case err != nil:
		j.noteTruncated(a, err)
		return false
	case len(body) > maxBufferedBytes:
		return j.forwardUnbuffered(a, resp, body)
	}
	answer := &bufferedAnswer{status: resp.Status, header: resp.Header, body: body}
	if resp.Status >= http.StatusInternalServerError {
		a.finish(fleet.Failed)
		a.reportOutcome(true, 0)
		j.failedAnswer = answer
		j.node.logEvent(event.ForwardAttempt, j, slog.String("upstream", a.id), slog.String("reason", "failure"), slog.Int("status", resp.Status))
		return false
	}
	a.finish(fleet.Served)
	a.noteAnswered(j.chain, a.startedAt)
	a.reportOutcome(false, time.Since(a.startedAt))
	j.deliver(answer)
	return true
}

// noteTruncated records an answer that ended early.
func (j *job) noteTruncated(a *attempt, err error) {
	if j.ctx.Err() != nil {
		a.finish(fleet.Abandoned)
		a.leave()
		return
	}
	a.finish(fleet.Failed)
	a.reportOutcome(true, 0)
	j.node.logEvent(event.ForwardAttempt, j, slog.String("upstream", a.id), slog.String("reason", "cut_short"), slog.String("err", err.Error()))
	j.node.suspectCrash(j, a)
}

// deliver sends a buffered answer to the caller.
func (j *job) deliver(answer *bufferedAnswer) {
	copyHeader(j.w.Header(), answer.header)
	j.w.Header().Set("Content-Length", strconv.Itoa(len(answer.body)))
	j.w.WriteHeader(answer.status)
	_, err := j.w.Write(answer.body)
	j.outcome = "answered"
	attrs := []slog.Attr{slog.Int("status", answer.status), slog.Int("bytes", len(answer.body))}
	if err != nil {
		attrs = append(attrs, slog.String("err", err.Error()))
	}
	j.node.logEvent(event.ForwardAnswered, j, attrs...)
	j.observe(answer.status)
}

var errAnswerTooLong = fmt.Errorf("answer without a stated length is longer than %d bytes", maxUnframedBytes)

// forwardUnbuffered forwards a large answer as it arrives. A truncated answer is broken off
// towards the caller as well.
func (j *job) forwardUnbuffered(a *attempt, resp *exchange.Response, head []byte) bool {
	copyHeader(j.w.Header(), resp.Header)
	if resp.Length >= 0 {
		j.w.Header().Set("Content-Length", strconv.FormatInt(resp.Length, 10))
	}
	j.answerStarted = true
	j.w.WriteHeader(resp.Status)
	_, err := j.w.Write(head)
	copied := int64(0)
	if err == nil && resp.Length >= 0 {
		_, err = io.Copy(j.w, resp)
	} else if err == nil {
		copied, err = io.Copy(j.w, io.LimitReader(resp, maxUnframedBytes+1))
	}
	if copied > maxUnframedBytes {
		a.finish(fleet.Failed)
		a.reportOutcome(true, 0)
		j.noteEndless(a, errAnswerTooLong)
		j.breakOff("too_long")
	}
	if err != nil {
		a.finish(fleet.Failed)
		a.leave()
		j.breakOff("cut_short")
	}
	a.finish(fleet.Served)
	a.reportOutcome(resp.Status >= http.StatusInternalServerError, 0)
	j.node.logEvent(event.ForwardAnswered, j, slog.Int("status", resp.Status), slog.Int64("bytes", resp.Length))
	j.observe(resp.Status)
	return true
}

// hopByHop are the header fields that concern a single connection.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true,
}

// IsHopByHop reports whether a header field, by its canonical name, is hop-by-hop and
// is never forwarded.
func IsHopByHop(name string) bool { return hopByHop[name] }

// copyHeader copies an upstream's header fields, less the hop-by-hop ones, to the caller's
// answer.
func copyHeader(to, from http.Header) {
	closes := to.Get("Connection")
	for name, values := range from {
		if !hopByHop[name] {
			to[name] = values
		}
	}
	if closes != "" {
		to.Set("Connection", closes)
	}
}
