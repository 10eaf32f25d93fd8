package gateway

import (
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"github.com/hickorybank/hickorybank/internal/event"
	"github.com/hickorybank/hickorybank/internal/exchange"
	"github.com/hickorybank/hickorybank/internal/fleet"
)

// readHeld reads an answer up to the size that is held; nil if it was cut short
// or is larger.
func readHeld(resp *exchange.Response) *held {
	body, err := io.ReadAll(io.LimitReader(resp, wholeMost+1))
	if err != nil || len(body) > wholeMost {
		return nil
	}
	return &held{status: resp.Status, header: resp.Header, body: body}
}

// whole passes on an answer that has come in full, so that one cut short can
// be asked for again or shows as a failure.
func (j *job) whole(a *attempt, resp *exchange.Response) bool {
	defer resp.Close()
	body, err := io.ReadAll(io.LimitReader(resp, wholeMost+1))
	switch {
	case err != nil:
		j.cutShort(a, err)
		return false
	case len(body) > wholeMost:
		return j.passOn(a, resp, body)
	}
	h := &held{status: resp.Status, header: resp.Header, body: body}
	if resp.Status >= http.StatusInternalServerError {
		a.end(fleet.Failed)
		a.answered(true, 0)
		j.failed = h
		j.node.event(event.ForwardAttempt, j, slog.String("upstream", a.id), slog.String("reason", "failure"), slog.Int("status", resp.Status))
		return false
	}
	a.end(fleet.Served)
	a.answered(false, time.Since(a.began))
	j.deliver(h)
	return true
}

// cutShort notes an answer that ended early.
func (j *job) cutShort(a *attempt, err error) {
	if j.ctx.Err() != nil {
		a.end(fleet.Abandoned)
		return
	}
	a.end(fleet.Failed)
	a.answered(true, 0)
	j.node.event(event.ForwardAttempt, j, slog.String("upstream", a.id), slog.String("reason", "cut_short"), slog.String("err", err.Error()))
	j.node.suspectCrash(j, a)
}

// deliver sends a whole answer to the caller.
func (j *job) deliver(h *held) {
	copyHeader(j.w.Header(), h.header)
	j.w.Header().Set("Content-Length", strconv.Itoa(len(h.body)))
	j.w.WriteHeader(h.status)
	_, err := j.w.Write(h.body)
	j.outcome = "answered"
	attrs := []slog.Attr{slog.Int("status", h.status), slog.Int("bytes", len(h.body))}
	if err != nil {
		attrs = append(attrs, slog.String("err", err.Error()))
	}
	j.node.event(event.ForwardAnswered, j, attrs...)
	j.observe(h.status)
}

// passOn sends a long answer to the caller while it comes; its end is sound
// only if the upstream's is.
func (j *job) passOn(a *attempt, resp *exchange.Response, head []byte) bool {
	copyHeader(j.w.Header(), resp.Header)
	if resp.Length >= 0 {
		j.w.Header().Set("Content-Length", strconv.FormatInt(resp.Length, 10))
	}
	j.begun = true
	j.w.WriteHeader(resp.Status)
	_, err := j.w.Write(head)
	if err == nil {
		_, err = io.Copy(j.w, resp)
	}
	if err != nil {
		a.end(fleet.Failed)
		j.breakOff("cut_short")
	}
	a.end(fleet.Served)
	a.answered(resp.Status >= http.StatusInternalServerError, 0)
	j.node.event(event.ForwardAnswered, j, slog.Int("status", resp.Status), slog.Int64("bytes", resp.Length))
	j.observe(resp.Status)
	return true
}

// connectionOnly are the fields that concern one connection.
var connectionOnly = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true,
}

// ConnectionOnly tells whether a field in canonical form concerns only one
// connection and is never passed on.
func ConnectionOnly(name string) bool { return connectionOnly[name] }

// copyHeader copies an upstream's fields to the caller's answer.
func copyHeader(to, from http.Header) {
	closes := to.Get("Connection")
	for name, values := range from {
		if !connectionOnly[name] {
			to[name] = values
		}
	}
	if closes != "" {
		to.Set("Connection", closes)
	}
}
