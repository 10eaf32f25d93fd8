package standin

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hickorybank/hickorybank/platform/platformtest"
)

// Runner is a sound runner. It answers whole, or as a stream if it has events.
type Runner struct {
	ID, Service, Version string
	// Spread is set if the work of whole answers varies by half, and one in a hundred takes five times
	// as long.
	Spread bool
	// CrashPath is the path of the request that crashes the runner; empty for none. CrashQuery is its
	// query; empty for any. OnBegin is called when such a request begins to run, OnCrash when the
	// runner has crashed.
	CrashPath  string
	CrashQuery string
	OnBegin    func(requestID string)
	OnCrash    func()
	// CrashDelay is how long the request runs before it crashes the runner.
	CrashDelay time.Duration
	// Events is the number of events of each stream, Pause the time between two of them; 0 for
	// whole answers.
	Events int
	Pause  time.Duration
	// Confidence returns a model's opinion of its answer to a request for a path, and whether the
	// runner has the model. It is nil for a runner that takes any model and states no opinion.
	Confidence func(model, path string) (opinion int, known bool)
	listener   net.Listener
	world      *World
	work       time.Duration
	slots      int
	queue      int

	mu      sync.Mutex
	running int
	waiting int
	free    *sync.Cond
	// Begun holds the IDs of the requests that the runner has begun to work on.
	begun   map[string]int
	conns   map[net.Conn]bool
	crashed bool
}

// AddRunner starts a runner and lists it in the store.
func (w *World) AddRunner(id, service, version string, slots, queue int, work time.Duration) (*Runner, error) {
	return w.addRunnerAt("127.0.0.1:0", id, service, version, slots, queue, work)
}

func (w *World) addRunnerAt(addr, id, service, version string, slots, queue int, work time.Duration) (*Runner, error) {
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, err
	}
	r := &Runner{ID: id, Service: service, Version: version, listener: l, world: w, work: work, slots: slots, queue: queue, begun: map[string]int{}, conns: map[net.Conn]bool{}}
	r.free = sync.NewCond(&r.mu)
	go r.accept()
	entry := map[string]any{
		"service": service, "address": l.Addr().String(), "zone": "zone-of-runners", "version": version, "slots": slots,
		"state": "ready", "seq": 1, "cold_left_ms": 0,
	}
	w.Store.Put("servers", id, entry)
	return r, nil
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
	r.mu.Unlock()
	defer func() {
		_ = c.Close() // the system may have closed it
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.conns, c)
	}()
	in := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		n, err := io.Copy(io.Discard, req.Body)
		if err != nil {
			return
		}
		if !r.handle(c, req, n) {
			return
		}
	}
}

func (r *Runner) handle(c net.Conn, req *http.Request, bytes int64) bool {
	id := req.Header.Get("Request-Id")
	if expected := req.Header.Get("Expect-Instance"); expected != "" && expected != r.ID {
		return r.answer(c, id, http.StatusMisdirectedRequest, "Instance-Id: "+r.ID, "")
	}
	model, confidence := req.Header.Get("Model"), ""
	if r.Confidence != nil {
		opinion, known := r.Confidence(model, req.URL.Path)
		if !known {
			return r.answer(c, id, http.StatusMisdirectedRequest, "Not-Executed: 1", "")
		}
		confidence = fmt.Sprintf("Confidence: %d\r\n", opinion)
	}
	if !r.takeSlot() {
		return r.answer(c, id, http.StatusServiceUnavailable, "Not-Executed: 1", "")
	}
	r.mu.Lock()
	r.begun[id]++
	r.mu.Unlock()
	r.world.Record.Add("runner %s runs %s (%d bytes) %s", r.ID, id, bytes, model)
	defer r.freeSlot()
	if r.crashesUnder(req) {
		r.OnBegin(id)
		if limit := timeLimit(req); limit < r.CrashDelay {
			time.Sleep(limit) // it stops work at its time limit
			return r.answer(c, id, http.StatusGatewayTimeout, "Instance-Id: "+r.ID, "")
		}
		time.Sleep(r.CrashDelay) // it crashes also if the channel is closed meanwhile
		r.crash()
		return false
	}
	time.Sleep(r.drawWork())
	if r.Events > 0 {
		return r.stream(c, id, confidence)
	}
	return r.answer(c, id, http.StatusOK, fmt.Sprintf("Server-Load: %s", r.load()), strings.Repeat("a", 800))
}

// crashesUnder reports whether a request crashes the runner.
func (r *Runner) crashesUnder(req *http.Request) bool {
	return r.CrashPath != "" && req.URL.Path == r.CrashPath && (r.CrashQuery == "" || req.URL.RawQuery == r.CrashQuery)
}

// timeLimit returns the time after which the runner stops work on a request.
func timeLimit(req *http.Request) time.Duration {
	ms, err := strconv.Atoi(req.Header.Get("Deadline-Ms"))
	if err != nil {
		return time.Hour
	}
	return time.Duration(ms) * time.Millisecond
}

// drawWork returns how long a request works.
func (r *Runner) drawWork() time.Duration {
	switch {
	case !r.Spread:
		return r.work
	case rand.IntN(100) == 0:
		return 5 * r.work
	default:
		return r.work/2 + rand.N(r.work)
	}
}

// stream answers with a stream of events.
func (r *Runner) stream(c net.Conn, id, confidence string) bool {
	if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: %s.%s\r\nServer-Load: %s\r\n%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		id, r.ID, id, r.load(), confidence); err != nil {
		return false
	}
	for n := range r.Events {
		if n > 0 {
			time.Sleep(r.Pause)
		}
		event := fmt.Sprintf("id: %d\ndata: %d\n\n", n+1, n+1)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false // the system has closed the channel
		}
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

const (
	// crashDowntime is how long a runner that has crashed is away: as in the users' record of such a
	// request.
	crashDowntime = 3300 * time.Millisecond
	// entryLifetime is how long an entry outlives its runner: three check-in intervals.
	entryLifetime = 3600 * time.Millisecond
)

// crash ends the runner with resets; another one starts at its address later.
func (r *Runner) crash() {
	r.mu.Lock()
	if r.crashed {
		r.mu.Unlock()
		return
	}
	r.crashed = true
	_ = r.listener.Close() // a crash reports no error
	for c := range r.conns {
		platformtest.Reset(c)
	}
	r.mu.Unlock()
	w := r.world
	w.Record.Add("runner %s crashed", r.ID)
	r.OnCrash()
	time.AfterFunc(entryLifetime, func() { w.Store.Delete("servers", r.ID) })
	time.AfterFunc(crashDowntime, func() {
		name, _, _ := strings.Cut(r.ID, ".")
		again, err := w.addRunnerAt(r.listener.Addr().String(), fmt.Sprintf("%s.%d", name, time.Now().UnixMilli()), r.Service, r.Version, r.slots, r.queue, r.work)
		if err != nil {
			w.Record.Add("runner %s does not start again: %v", r.ID, err)
			return
		}
		again.SetCrash(r.CrashPath, r.CrashDelay, r.OnBegin, r.OnCrash)
		again.CrashQuery = r.CrashQuery
		w.Record.Add("runner %s starts in place of %s", again.ID, r.ID)
	})
}

// SetCrash sets the request that crashes the runner after a time, whose other work varies.
func (r *Runner) SetCrash(path string, delay time.Duration, onBegin func(requestID string), onCrash func()) {
	r.Spread, r.CrashPath, r.CrashDelay, r.OnBegin, r.OnCrash = true, path, delay, onBegin, onCrash
}

// takeSlot waits for a slot; false if the queue is full.
func (r *Runner) takeSlot() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running >= r.slots && r.waiting >= r.queue {
		return false
	}
	r.waiting++
	for r.running >= r.slots {
		r.free.Wait()
	}
	r.waiting--
	r.running++
	return true
}

func (r *Runner) freeSlot() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
	r.free.Signal()
}

func (r *Runner) load() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", r.running, r.waiting, r.slots)
}

func (r *Runner) answer(c net.Conn, id string, status int, header, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nRequest-Id: %s\r\nResponse-Signature: %s.%s\r\n%s\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), id, r.ID, id, header, len(body), body)
	return err == nil
}

// Runs returns how often the runner began to work on a request.
func (r *Runner) Runs(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.begun[id]
}

// Close stops the runner at once.
func (r *Runner) Close() {
	_ = r.listener.Close() // it may be closed
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.Close() // as above
	}
}

// Leave stops the runner at once, and takes its entry off the list.
func (r *Runner) Leave() {
	r.Close()
	r.world.Store.Delete("servers", r.ID)
}
