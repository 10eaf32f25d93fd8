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
	maxIdle         = 4096
	defaultDeadline = 2 * time.Minute
	// slack is what a caller waits beyond the deadline for the answer that it
	// was missed.
	slack      = 5 * time.Second
	maxRedials = 3
	dialLimit  = time.Second
)

// Routed is the lane through the entry nodes.
type Routed struct {
	run       string
	http      *http.Client
	directory *directory
	mix       *Mix
	duties    conc.WaitGroup
	stop      context.CancelFunc
}

// NewRouted returns a lane through the entry nodes; seeds are addresses to ask
// first. The run's name makes its prompts unlike those of other runs.
func NewRouted(run string, seeds []string, m *Mix) *Routed {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialLimit}).DialContext,
		MaxIdleConnsPerHost: maxIdle,
		DisableCompression:  true,
	}
	client := &http.Client{Transport: transport}
	return &Routed{run: run, http: client, mix: m, directory: &directory{http: client, seeds: seeds, clock: startClock()}}
}

// Name is "routed".
func (r *Routed) Name() string { return "routed" }

// Start begins to keep the addresses fresh.
func (r *Routed) Start() error {
	ctx, cancel := context.WithCancel(context.Background())
	r.stop = cancel
	if _, err := r.directory.pick(ctx); err != nil {
		return err
	}
	r.duties.Go(func() { r.directory.keepFresh(ctx) })
	return nil
}

// Close stops asking and closes the connections.
func (r *Routed) Close() {
	if r.stop != nil {
		r.stop()
	}
	r.duties.Wait()
	r.http.CloseIdleConnections()
}

// Do sends a job as an application does: to one of the addresses that it was
// told, and to the next one only if no connection stood.
func (r *Routed) Do(ctx context.Context, job Job, clock Clock) Result {
	ctx, cancel := context.WithTimeout(ctx, job.Work.deadline()+slack)
	defer cancel()
	var res Result
	for {
		addr, err := r.directory.pick(ctx)
		if err != nil {
			return broken(res, "no_address", clock)
		}
		req, err := r.request(ctx, addr, job)
		if err != nil {
			return broken(res, "request", clock)
		}
		resp, err := r.http.Do(req)
		if err == nil {
			r.read(&res, job, resp, clock)
			return res
		}
		if !notConnected(err) || res.Redials == maxRedials {
			return broken(res, kindOf(err), clock)
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
	req.GetBody = nil // or the transport would send it again by itself
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

// path is a service call's path; each job has its own.
func (j Job) path() string {
	path := j.Work.Path
	if path[len(path)-1] == '/' {
		path += uuid.NewSHA1(uuid.Nil, []byte(j.prompt(""))).String()
	}
	return path
}

// notConnected says that no byte can have left.
func notConnected(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func kindOf(err error) string {
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return "timeout"
	case errors.Is(err, context.Canceled):
		return "cancelled"
	case notConnected(err):
		return "not_connected"
	default:
		return "connection_broke"
	}
}

func broken(res Result, code string, clock Clock) Result {
	res.Outcome = noAnswer
	res.Code = code
	res.Check = Unchecked
	res.Ended = clock()
	return res
}
