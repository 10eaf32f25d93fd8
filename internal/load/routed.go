package load

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/sourcegraph/conc"
)

const (
	maxIdlePerHost  = 4096
	defaultDeadline = 2 * time.Minute
	// deadlineGrace is how long a client waits after the deadline for the answer that
	// the deadline was missed.
	deadlineGrace = 5 * time.Second
	maxRedials    = 3
	dialTimeout   = time.Second
)

// Routed is the lane through the entry nodes.
type Routed struct {
	run        string
	http       *http.Client
	directory  *directory
	mix        *Mix
	background conc.WaitGroup
	stop       context.CancelFunc
}

// NewRouted returns a lane through the entry nodes. seeds are the addresses to ask
// first. The run's name makes its prompts differ from those of other runs.
func NewRouted(run string, seeds []string, m *Mix) *Routed {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdlePerHost,
		DisableCompression:  true,
	}
	client := &http.Client{Transport: transport}
	return &Routed{run: run, http: client, mix: m, directory: &directory{http: client, seeds: seeds, clock: startClock()}}
}

// Name returns "routed".
func (r *Routed) Name() string { return "routed" }

// Start fetches the addresses of the entry nodes and refreshes them until Close. It
// fails if no entry node offers addresses.
func (r *Routed) Start() error {
	ctx, cancel := context.WithCancel(context.Background())
	r.stop = cancel
	if _, err := r.directory.pick(ctx); err != nil {
		return err
	}
	r.background.Go(func() { r.directory.refreshLoop(ctx) })
	return nil
}

// Close stops the refreshes and closes idle connections.
func (r *Routed) Close() {
	if r.stop != nil {
		r.stop()
	}
	r.background.Wait()
	r.http.CloseIdleConnections()
}

// Do sends a job as an application does: to one of the current addresses, and to the
// next one only if no connection was established.
func (r *Routed) Do(ctx context.Context, job Job, clock Clock) Result {
	ctx, cancel := context.WithTimeout(ctx, job.Work.deadline()+deadlineGrace)
	defer cancel()
	var res Result
	for {
		addr, err := r.directory.pick(ctx)
		if err != nil {
			return unanswered(res, "no_address", clock)
		}
		req, err := r.request(ctx, addr, job)
		if err != nil {
			return unanswered(res, "request", clock)
		}
		resp, err := r.http.Do(req)
		if err == nil {
			r.read(&res, job, resp, clock)
			return res
		}
		if !isDialError(err) || res.Redials == maxRedials {
			return unanswered(res, errorCode(err), clock)
		}
		r.directory.drop(addr)
		res.Redials++
	}
}

func (w *Work) deadline() time.Duration {
	if w.DeadlineMillis == 0 {
		return defaultDeadline
	}
	return time.Duration(w.DeadlineMillis) * time.Millisecond
}

func (r *Routed) request(ctx context.Context, addr string, job Job) (*http.Request, error) {
	method, path := http.MethodPost, "/v1/chat/completions"
	var body []byte
	if job.Work.chat() {
		var err error
		if body, err = job.body(r.run, job.Work.Model); err != nil {
			return nil, err
		}
	} else {
		method, path = job.Work.Method, "/v1/services/"+job.Work.Service+job.path()
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil // otherwise the transport may resend the request
	req.Header.Set("Authorization", "Bearer "+job.Work.Key)
	if method != http.MethodGet {
		key, err := uuid.NewV7()
		if err != nil {
			return nil, err
		}
		req.Header["Idempotency-Key"] = []string{key.String()}
		req.Header.Set("Content-Type", "application/json")
	}
	return req, nil
}

// path returns the path of a service call. A path that ends in a slash gets an ID
// derived from the job's number.
func (j Job) path() string {
	path := j.Work.Path
	if path[len(path)-1] == '/' {
		path += uuid.NewSHA1(uuid.Nil, []byte(j.prompt(""))).String()
	}
	return path
}

// isDialError reports whether the connection failed, so that no byte of the request was
// sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// errorCode returns the code in the report for an error of a connection.
func errorCode(err error) string {
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return "timeout"
	case errors.Is(err, context.Canceled):
		return "cancelled"
	case isDialError(err):
		return "not_connected"
	default:
		return "connection_broke"
	}
}

// unanswered completes the result of a request that got no answer.
func unanswered(res Result, code string, clock Clock) Result {
	res.Outcome = noAnswer
	res.Code = code
	res.Check = Unchecked
	res.Ended = clock()
	return res
}
