package gateway

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"os"
	"time"

	"github.com/hickorybank/hickorybank/internal/event"
	"github.com/hickorybank/hickorybank/internal/intake"
	"github.com/hickorybank/hickorybank/internal/route"
)

// ServeHTTP forwards one request and writes its final answer.
func (n *Node) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n.active.Add(1)
	defer n.active.Add(-1)
	w.Header()["Content-Type"] = nil // the upstream's content type is passed on unchanged
	if n.isStopping() || len(r.TransferEncoding) > 0 {
		// A chunked body may hide a second request if it also has a length. Bytes that
		// follow it on the connection are therefore never read as a request.
		w.Header().Set("Connection", "close")
	}
	j := &job{node: n, w: w, r: r, start: time.Now(), held: intake.HoldingOf(r.Context(), n.memory)}
	defer j.held.Release()
	ref := j.admitByNewest()
	if ref == notReady {
		ref = j.waitForConfig()
	}
	if ref == nil {
		ref = j.readBody()
	}
	if ref != nil {
		j.refuse(ref)
		return
	}
	_, target := rawTarget(r)
	j.identify(r.Method, target)
	var cancel context.CancelFunc
	j.ctx, cancel = context.WithDeadline(r.Context(), j.deadline)
	defer cancel()
	rc := http.NewResponseController(w)
	if err := rc.SetWriteDeadline(j.deadline.Add(writeSlack)); err != nil {
		n.log.Debug("cannot set write deadline", slog.Any("err", err))
	}
	defer func() { _ = rc.SetWriteDeadline(time.Time{}) }() // the connection may be closed already
	j.run()
}

// writeSlack is how long after the deadline a caller may take to read the answer before its
// connection is closed.
const writeSlack = time.Second

// admit checks everything that does not depend on the body; it returns nil for a valid
// request.
func (j *job) admit() *refusal {
	n := j.node
	// The headers are read first, so that the logs of refusals carry the caller's ID.
	headers, headerErr := n.dialect.Read(j.r.Header)
	j.headers = headers
	j.config = n.config.Load()
	if j.config == nil || !n.knowsUpstreams() {
		return notReady
	}
	path, _ := rawTarget(j.r)
	j.route = j.config.Match(j.r.Host, path)
	if j.route == nil {
		return unknownRoute
	}
	if headerErr != nil {
		return &refusal{status: http.StatusBadRequest, reason: "bad_request", text: headerErr.Error()}
	}
	if ref := j.authorise(); ref != nil {
		return ref
	}
	limit := j.route.Timeout
	if limit <= 0 {
		limit = defaultTimeout
	}
	if headers.Timeout > 0 {
		limit = min(limit, headers.Timeout)
	}
	j.deadline = j.start.Add(limit)
	j.lastEvent = headers.LastEvent
	return nil
}

// knowsUpstreams reports whether the node has read or received a list of upstreams.
func (n *Node) knowsUpstreams() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view.listRevision > 0
}

// authorise sets the request's organisation and priority; it refuses an unknown key.
func (j *job) authorise() *refusal {
	j.priority = j.route.Priority
	if !j.config.Keyed {
		return nil
	}
	return j.authoriseAs(j.config.OrganisationByKey(j.headers.Key))
}

// authoriseAs sets the organisation and priority of a request that needs an organisation; nil
// for an unknown one.
func (j *job) authoriseAs(org *route.Organisation) *refusal {
	if org == nil {
		if j.route.Public {
			return nil
		}
		return unknownKey
	}
	j.orgName, j.organisation = org.Name, org
	if org.HasPriority {
		j.priority = org.Priority
	}
	return nil
}

// readBody reads the whole body, once, within the limits of the configuration and of the
// process's memory.
func (j *job) readBody() *refusal {
	limit := j.maxBodyBytes()
	if j.bodyRead {
		if int64(len(j.body)) > limit {
			return bodyTooLarge
		}
		return nil
	}
	n := j.node
	if j.r.ContentLength > limit {
		j.noteUnreadBody()
		return bodyTooLarge
	}
	rc := http.NewResponseController(j.w)
	if err := rc.SetReadDeadline(j.deadline); err != nil {
		n.log.Debug("cannot set read deadline", slog.Any("err", err))
	}
	release := j.boundBodyByStop(rc.SetReadDeadline)
	body, err := intake.ReadWhole(http.MaxBytesReader(j.w, j.r.Body, limit), j.r.ContentLength, j.held.Reserve)
	release()
	_ = rc.SetReadDeadline(time.Time{}) // the connection may be closed already
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return bodyTooLarge
	case errors.Is(err, intake.ErrNoMemory) || err == nil && !intake.Complete(j.r.Context()) || j.held.Evicted():
		j.w.Header().Set("Connection", "close") // what is left of the body is not read
		return tooManyBodies
	case errors.Is(err, os.ErrDeadlineExceeded) && j.outlivesStop():
		return nodeStops
	case err != nil:
		n.logEvent(event.ForwardCallerLeft, j, slog.String("at", "body"), slog.String("err", err.Error()))
		panic(http.ErrAbortHandler) // the body is incomplete, so no answer is possible
	}
	j.body, j.bodyRead = body, true
	return nil
}

// unreadBodyWait bounds the wait for the first byte of a body that is not read.
const unreadBodyWait = 100 * time.Millisecond

// noteUnreadBody has the HTTP server keep the connection open for a moment after the answer, which
// a caller that is still sending would lose to a reset. The server does so once a limit on the
// body has been reached.
func (j *job) noteUnreadBody() {
	if j.r.Header.Get("Expect") != "" {
		return // the caller sends nothing before it is asked to
	}
	rc := http.NewResponseController(j.w)
	_ = rc.SetReadDeadline(time.Now().Add(unreadBodyWait)) // not supported in tests without a connection
	_, _ = http.MaxBytesReader(j.w, j.r.Body, 0).Read(make([]byte, 1))
	_ = rc.SetReadDeadline(time.Time{})
}

// maxBodyBytes returns the size of the largest body that is read, in bytes.
func (j *job) maxBodyBytes() int64 {
	if j.config == nil || j.config.Limits.BodyBytes <= 0 {
		return defaultBodyBytes
	}
	return j.config.Limits.BodyBytes
}

// defaultBodyBytes bounds a body if the configuration does not.
const defaultBodyBytes = 4 << 20
