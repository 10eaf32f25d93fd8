package fleet2

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/hickorybank/hickorybank/platform/platformtest"
)

// Arrival is a request that reached a runner.
type Arrival struct {
	ID, Runner string
	At         time.Time
	// Ran is set if the runner began to run it.
	Ran bool
	// LastEvent is its Last-Event-Id.
	LastEvent string
	// Began and Ended are when the runner began and ended to work on it; zero before.
	Began, Ended time.Time
}

// Runner is a stand-in of a runner: it runs slots requests at a time and lets a few wait.
type Runner struct {
	ID, Service, Version string
	Slots, Queue         int
	// Work is how long a request runs.
	Work func(r *http.Request) time.Duration
	// Keeps is set if the runner goes on with a request whose channel has closed.
	Keeps bool
	// Brittle is the number of rejections in a second that the runner bears; 0 for any.
	Brittle int
	// Respond, if set, writes the answer in place of a plain one; false closes the channel.
	Respond func(ctx context.Context, c net.Conn, r *http.Request, id string) bool

	record   *Record
	listener net.Listener
	born     int64

	mu       sync.Mutex
	headers  map[string]string
	running  int
	waiting  int
	freed    chan struct{}
	arrivals []Arrival
	rejected []time.Time
	falls    []time.Time
	conns    map[net.Conn]bool
	down     bool
	// crash reports whether a request has crashed the runner.
	crash func(req *http.Request) bool
}

// StartRunner starts a runner.
func StartRunner(r *Runner, record *Record) error {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	r.record, r.listener, r.born = record, l, time.Now().UnixMilli()
	r.headers, r.freed, r.conns = map[string]string{}, make(chan struct{}), map[net.Conn]bool{}
	go r.accept()
	return nil
}

// Addr returns the runner's address.
func (r *Runner) Addr() string { return r.listener.Addr().String() }

// Entry returns the runner's entry in the store.
func (r *Runner) Entry(state string, seq int) map[string]any {
	models := []any{}
	if r.Service == "engine" {
		models = append(models, map[string]any{"name": "m0", "version": 1, "adapters": []string{}})
	}
	return map[string]any{
		"service": r.Service, "address": r.Addr(), "zone": "zone-a", "version": r.Version, "slots": r.Slots, "state": state,
		"cold_left_ms": 0, "seq": seq, "born": r.born, "models": models,
	}
}

// Put writes the runner's entry into the store.
func (r *Runner) Put(s *platformtest.Store, state string, seq int) {
	s.Put("servers", r.ID, r.Entry(state, seq))
}

// KeepPut writes the runner's entry now and at each heartbeat, until ctx ends.
func (r *Runner) KeepPut(ctx context.Context, s *platformtest.Store, state string, seq int) {
	r.Put(s, state, seq)
	go func() {
		tick := time.NewTicker(heartbeat)
		defer tick.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
				r.Put(s, state, seq)
			}
		}
	}()
}

// SetHeader sets a header of all answers; an empty value removes it.
func (r *Runner) SetHeader(name, value string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if value == "" {
		delete(r.headers, name)
	} else {
		r.headers[name] = value
	}
}

// SetBrittle sets the number of rejections in a second that the runner bears from now on; 0 for
// any.
func (r *Runner) SetBrittle(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Brittle, r.rejected = n, nil
}

// Arrivals returns the requests that have reached the runner.
func (r *Runner) Arrivals() []Arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Arrival(nil), r.arrivals...)
}

// Falls returns when the runner fell over.
func (r *Runner) Falls() []time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]time.Time(nil), r.falls...)
}

func (r *Runner) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(c)
	}
}

func (r *Runner) serve(c net.Conn) {
	r.mu.Lock()
	r.conns[c] = true
	down := r.down
	r.mu.Unlock()
	if down {
		platformtest.Reset(c) // it has fallen over
		return
	}
	defer func() {
		r.mu.Lock()
		delete(r.conns, c)
		r.mu.Unlock()
		_ = c.Close() // the caller may have closed it
	}()
	in := bufio.NewReaderSize(c, 64<<10)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		ctx, cancel := context.WithCancel(context.Background())
		next := make(chan error, 1)
		go func() {
			_, err := in.Peek(1)
			if err != nil {
				cancel()
			}
			next <- err
		}()
		keep := r.handle(ctx, c, req)
		if !keep {
			cancel()
			_ = c.Close() // ends the other goroutine
			<-next
			return
		}
		err = <-next
		cancel()
		if err != nil {
			return
		}
	}
}

// head returns the first lines of an answer.
func (r *Runner) head(status int, id string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\nRequest-Id: %s\r\nServer-Load: %d,%d,%d\r\n", status, http.StatusText(status), id, r.running, r.waiting, r.Slots)
	for name, value := range r.headers {
		text += name + ": " + value + "\r\n"
	}
	return text
}

// Head is head for answers that Respond writes.
func (r *Runner) Head(status int, id string) string { return r.head(status, id) }

func (r *Runner) handle(ctx context.Context, c net.Conn, req *http.Request) bool {
	id := req.Header.Get("Request-Id")
	if want := req.Header.Get("Expect-Instance"); want != "" && want != r.ID {
		_, err := fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", r.ID, id)
		return err == nil
	}
	index, ran := r.begin(ctx, req)
	if !ran {
		r.record.Note("runner %s rejects %s", r.ID, id)
		_, err := io.WriteString(c, r.head(http.StatusServiceUnavailable, id)+"Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
		r.noteRejected()
		return err == nil
	}
	r.record.Note("runner %s runs %s (event %q)", r.ID, id, req.Header.Get("Last-Event-Id"))
	defer r.end(index)
	if r.crash != nil && r.crash(req) {
		return false
	}
	if r.Respond != nil {
		return r.Respond(ctx, c, req, id)
	}
	work := time.NewTimer(r.Work(req))
	defer work.Stop()
	if r.Keeps {
		<-work.C
	} else {
		select {
		case <-work.C:
		case <-ctx.Done():
			return false
		}
	}
	_, err := fmt.Fprintf(c, "%sResponse-Signature: sig-%s\r\nContent-Length: 2\r\n\r\nok", r.head(http.StatusOK, id), id)
	return err == nil
}

// begin waits for a slot; false if the request is rejected.
func (r *Runner) begin(ctx context.Context, req *http.Request) (index int, ran bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	index = len(r.arrivals)
	r.arrivals = append(r.arrivals, Arrival{ID: req.Header.Get("Request-Id"), Runner: r.ID, At: time.Now(), LastEvent: req.Header.Get("Last-Event-Id")})
	if r.running >= r.Slots && r.waiting >= r.Queue || r.down {
		return index, false
	}
	r.waiting++
	for r.running >= r.Slots {
		freed := r.freed
		r.mu.Unlock()
		select {
		case <-freed:
		case <-ctx.Done():
		}
		r.mu.Lock()
		if ctx.Err() != nil && !r.Keeps {
			r.waiting--
			return index, false
		}
	}
	r.waiting--
	r.running++
	r.arrivals[index].Ran, r.arrivals[index].Began = true, time.Now()
	return index, true
}

func (r *Runner) end(index int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals[index].Ended = time.Now()
	r.running--
	close(r.freed)
	r.freed = make(chan struct{})
}

// noteRejected records a rejection for want of room; the runner may fall over.
func (r *Runner) noteRejected() {
	r.mu.Lock()
	now := time.Now()
	recent := r.rejected[:0]
	for _, at := range r.rejected {
		if now.Sub(at) < time.Second {
			recent = append(recent, at)
		}
	}
	r.rejected = append(recent, now)
	falls := r.Brittle > 0 && len(r.rejected) > r.Brittle && !r.down
	if falls {
		r.falls = append(r.falls, now)
		r.rejected = nil
		r.down = true
		for c := range r.conns {
			platformtest.Reset(c)
		}
	}
	r.mu.Unlock()
	if falls {
		r.record.Say("runner %s falls over", r.ID)
		time.AfterFunc(3*time.Second, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.down = false
		})
	}
}

// Crash ends the runner: its port closes and all its channels are reset.
func (r *Runner) Crash() {
	_ = r.listener.Close() // a crash reports no error
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down = true
	for c := range r.conns {
		platformtest.Reset(c)
	}
}

// Close ends the runner.
func (r *Runner) Close() {
	_ = r.listener.Close() // nothing is lost
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.Close() // as above
	}
}

// EventsAfter returns the number of the first event after Last-Event-Id.
func EventsAfter(req *http.Request) int {
	n, err := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	if err != nil {
		return 1
	}
	return n + 1
}
