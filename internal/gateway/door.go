package gateway

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"time"

	"github.com/hickorybank/hickorybank/internal/event"
)

// ServeHTTP serves one forwarded request.
func (n *Node) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n.active.Add(1)
	defer n.active.Add(-1)
	w.Header()["Content-Type"] = nil // an upstream's answer is passed on as it is
	if n.stopping.Load() || len(r.TransferEncoding) > 0 {
		// A body in chunks may hide a second request where a length is given
		// too: nothing that follows it on the connection is taken as one.
		w.Header().Set("Connection", "close")
	}
	j := &job{node: n, w: w, r: r, start: time.Now()}
	defer func() { n.bodies.Add(-int64(len(j.body))) }()
	ref := j.admit()
	if ref == notYet {
		ref = j.waitForConfig()
	}
	if ref == nil {
		ref = j.readBody()
	}
	if ref != nil {
		j.refuse(ref)
		return
	}
	path, _ := rawTarget(r)
	j.identify(path)
	var cancel context.CancelFunc
	j.ctx, cancel = context.WithDeadline(r.Context(), j.deadline)
	defer cancel()
	rc := http.NewResponseController(w)
	if err := rc.SetWriteDeadline(j.deadline.Add(writeSlack)); err != nil {
		n.log.Debug("no write deadline", slog.Any("err", err))
	}
	defer func() { _ = rc.SetWriteDeadline(time.Time{}) }() // the connection may be gone
	j.run()
}

// writeSlack is how long after a request's deadline its caller may take to
// read the answer before the connection is given up.
const writeSlack = time.Second

// admit checks all that can be checked before the body is read.
func (j *job) admit() *refusal {
	n := j.node
	// The caller's ID is known before anything is decided: whoever looks into a
	// refusal afterwards has nothing else to go by.
	ask, unsound := n.dialect.Read(j.r.Header)
	j.ask = ask
	j.table = n.config.Load()
	if j.table == nil || !n.knowsUpstreams() {
		return notYet
	}
	path, _ := rawTarget(j.r)
	j.route = j.table.Match(j.r.Host, path)
	if j.route == nil {
		return unknownRoute
	}
	if unsound != nil {
		return &refusal{status: http.StatusBadRequest, reason: "bad_request", text: unsound.Error()}
	}
	if ref := j.authorise(); ref != nil {
		return ref
	}
	limit := j.route.Timeout
	if limit <= 0 {
		limit = defaultTimeout
	}
	if ask.Time > 0 {
		limit = min(limit, ask.Time)
	}
	j.deadline = j.start.Add(limit)
	j.lastEvent = ask.LastEvent
	return nil
}

func (n *Node) knowsUpstreams() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.list.revision > 0
}

func (j *job) authorise() *refusal {
	j.priority = j.route.Priority
	if !j.table.Keyed {
		return nil
	}
	org := j.table.Holder(j.ask.Key)
	if org == nil {
		if j.route.Public {
			return nil
		}
		return unknownKey
	}
	j.org, j.holder = org.Name, org
	if org.HasPriority {
		j.priority = org.Priority
	}
	return nil
}

// readBody reads the whole body, once, within the limits of the configuration
// and of the process's memory.
func (j *job) readBody() *refusal {
	limit := j.mostBody()
	if j.bodyRead {
		if int64(len(j.body)) > limit {
			return bodyTooLarge
		}
		return nil
	}
	n := j.node
	if n.overfull(j.r.ContentLength) {
		return tooManyBodies
	}
	rc := http.NewResponseController(j.w)
	if err := rc.SetReadDeadline(j.deadline); err != nil {
		n.log.Debug("no read deadline", slog.Any("err", err))
	}
	body, err := io.ReadAll(http.MaxBytesReader(j.w, j.r.Body, limit))
	_ = rc.SetReadDeadline(time.Time{}) // the connection may be gone
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return bodyTooLarge
	case err != nil:
		n.event(event.ForwardLeft, j, slog.String("at", "body"), slog.String("err", err.Error()))
		panic(http.ErrAbortHandler) // the request never arrived whole: there is nobody to answer
	}
	j.body, j.bodyRead = body, true
	n.bodies.Add(int64(len(body)))
	return nil
}

// mostBody is the largest body that is read.
func (j *job) mostBody() int64 {
	if j.table == nil || j.table.Limits.BodyBytes <= 0 {
		return defaultBodyBytes
	}
	return j.table.Limits.BodyBytes
}

// defaultBodyBytes bounds a body where the configuration does not.
const defaultBodyBytes = 4 << 20

// overfull tells whether another body of this length would take too much of
// the process's memory.
func (n *Node) overfull(length int64) bool {
	if n.settings.MemoryMB <= 0 {
		return false
	}
	most := int64(bodiesPart * float64(n.settings.MemoryMB) * (1 << 20))
	return n.bodies.Load()+max(length, 0) > most
}
