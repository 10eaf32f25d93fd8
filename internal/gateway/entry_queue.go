package gateway

import (
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"github.com/hickorybank/hickorybank/internal/canary"
	"github.com/hickorybank/hickorybank/internal/entryqueue"
	"github.com/hickorybank/hickorybank/internal/event"
)

const (
	// entryPollInterval is the mean pause between a waiting request's checks for room. Each
	// pause is drawn anew, so that nodes do not send at the same moments.
	entryPollInterval = 40 * time.Millisecond
	// entryLoadInterval is how long a service's load is reused.
	entryLoadInterval = 50 * time.Millisecond
	// waitingPerMB bounds the waiting requests by the process's memory.
	waitingPerMB = 0.5
)

// queueKey identifies an entry queue. Each version of a service has upstreams of its own.
type queueKey struct{ service, version string }

// serviceQueue is the entry queue of a service's version.
type serviceQueue struct {
	*entryqueue.Queue
	key queueKey
	// excluded are the versions to which the queue's requests are not sent.
	excluded []string
	// loadAt is when the load was last read, reported whether upstreams report theirs.
	loadAt   time.Time
	reported bool
}

// awaitRoom waits until the request may be sent. It returns false if it has refused the
// request or the wait has ended without a start.
func (j *job) awaitRoom() bool {
	if !j.queuesHere() {
		return true
	}
	began := time.Now()
	d := j.node.offer(j, began)
	j.ticket = d.Ticket
	switch d.Verdict {
	case entryqueue.Refuse:
		j.countRoom(event.RoomRefused, d, 0)
		j.refuse(&refusal{
			status: http.StatusServiceUnavailable, reason: "no_room", text: "the upstreams have no room for the request before its deadline",
			retryAfter: max(d.RetryAfter, minRetryAfter),
		})
		return false
	case entryqueue.Wait:
		for !j.node.mayStart(j) {
			if !pause(j.ctx, entryPollInterval/2+time.Duration(j.node.draws.Int64N(int64(entryPollInterval)))) {
				j.countRoom(event.RoomAwaited, d, time.Since(began))
				j.giveUp()
				return false
			}
		}
		j.countRoom(event.RoomAwaited, d, time.Since(began))
	}
	return true
}

// queuesHere reports whether the configuration calls for an order of requests at the node.
func (j *job) queuesHere() bool {
	s := j.config.Service(j.service)
	return j.node.settings.QueueWait > 0 && s != nil && s.Engine != nil && j.config.Ranked && j.route.LatencyGoal > 0
}

// countRoom logs and counts a request that waited or was refused.
func (j *job) countRoom(e event.Event, d entryqueue.Decision, waited time.Duration) {
	organisation, priority, reason := j.orgLabel(), strconv.Itoa(j.priority), string(d.Reason)
	m := j.node.metrics
	if d.Verdict == entryqueue.Refuse {
		m.Counter("hickorybank_room_refused_total", "organisation", organisation, "priority", priority, "reason", reason).Inc()
	} else {
		m.Histogram("hickorybank_room_wait_seconds", "priority", priority, "reason", reason).Update(waited.Seconds())
		m.Counter("hickorybank_room_waited_total", "organisation", organisation, "priority", priority, "reason", reason).Inc()
	}
	j.node.logEvent(e, j, slog.Int("priority", j.priority), slog.String("reason", reason), slog.Int64("waited_ms", waited.Milliseconds()),
		slog.Bool("found_room", d.Ticket != nil && !d.Ticket.Expired()), slog.Int64("retry_after_ms", d.RetryAfter.Milliseconds()),
		slog.Int("slots_in_use_percent", int(100*d.Load)))
}

// offer asks the service's entry queue about a request.
func (n *Node) offer(j *job, now time.Time) entryqueue.Decision {
	n.mu.Lock()
	defer n.mu.Unlock()
	rule := n.canary.Rule(j.service, canary.Caller{Hash: j.affinityHash, Session: j.headers.Session != ""}, now)
	j.entryQueue = n.entryQueue(queueKey{j.service, rule.Version}, now)
	j.entryQueue.excluded = rule.Excluded
	n.refreshLoad(j.entryQueue, now)
	return j.entryQueue.Offer(entryqueue.Request{
		ID: j.headers.ID, Organisation: j.orgName, Priority: j.priority,
		Goal: j.route.LatencyGoal, Left: j.deadline.Sub(now),
		Exempt: j.lastEvent != "" || len(n.crashGuard.Blocking(j.chain, now)) > 0,
	}, now)
}

// mayStart reports whether a waiting request may be sent now.
func (n *Node) mayStart(j *job) bool {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.refreshLoad(j.entryQueue, now)
	return j.entryQueue.Started(j.ticket, now)
}

// leaveRoom ends the request's place in its entry queue.
func (j *job) leaveRoom() {
	if j.ticket == nil {
		return
	}
	j.node.mu.Lock()
	defer j.node.mu.Unlock()
	j.entryQueue.Finish(j.ticket, time.Now())
}

// entryQueue returns the entry queue of a service's version; the caller holds mu. It
// forgets idle ones of other versions, so that releases do not add up.
func (n *Node) entryQueue(key queueKey, now time.Time) *serviceQueue {
	q := n.entryQueues[key]
	if q == nil {
		for other, old := range n.entryQueues {
			if other.service == key.service && old.Idle() {
				delete(n.entryQueues, other)
			}
		}
		waiting := int(waitingPerMB * float64(n.settings.MemoryMB))
		q = &serviceQueue{key: key, Queue: entryqueue.New(entryqueue.Settings{WaitShare: float64(n.settings.QueueWait) / 100, MaxWaiting: waiting})}
		n.entryQueues[key] = q
	}
	return q
}

// refreshLoad gives a queue the load of its upstreams, once they report it; the caller holds mu.
func (n *Node) refreshLoad(q *serviceQueue, now time.Time) {
	if now.Sub(q.loadAt) < entryLoadInterval {
		return
	}
	q.loadAt = now
	if !q.reported && n.fleet.ReportsLoad(q.key.service) {
		q.reported = true
		event.EntryQueueUsed.Log(n.log, slog.String("service", q.key.service), slog.String("version", q.key.version), slog.Int("wait_percent", n.settings.QueueWait))
	}
	if q.reported {
		q.SetLoad(n.fleet.LoadWithout(q.key.service, q.key.version, q.excluded, now), now)
	}
}

// waitingRequests returns the number of requests that wait in entry queues.
func (n *Node) waitingRequests() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	waiting := 0
	for _, q := range n.entryQueues {
		waiting += q.Waiting()
	}
	return float64(waiting)
}
