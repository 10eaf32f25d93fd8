package scenario

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// loadOptions configure the requests of a load.
type loadOptions struct {
	name string
	// rate is the number of requests started per second.
	rate float64
	// maxRequests is the total number of requests; 0 means no limit.
	maxRequests int
	seed        uint64
	// keepAddresses: callers never refresh their first address list.
	keepAddresses bool
	// retryNotRun: callers retry requests refused as not run with a Retry-After.
	retryNotRun bool
	// once: callers send each request only once.
	once bool
	// retryUnknown: callers retry requests whose outcome is unknown, up to maxUnknownSends
	// sends.
	retryUnknown bool
	// org, model and chatOnly restrict the requests; if empty, requests are mixed.
	org      string
	model    string
	chatOnly bool
}

// load sends requests through all entries in the background, as applications do, and records
// the result of each.
type load struct {
	cluster *cluster
	options loadOptions
	caches  []*addressCache
	caller  *caller

	stop    context.CancelFunc
	stopped chan struct{}
	tasks   sync.WaitGroup
	started atomic.Int64

	mu      sync.Mutex
	records []record
}

// record is one request of a load with its history.
type record struct {
	call call
	// last is the final answer.
	last result
	// arrivals counts the sends of the request. cuts counts those that reached an entry but
	// got no answer.
	arrivals int
	cuts     int
	// history describes the result and time of each send, for debugging.
	history []string
	// neverReached: no earlier send reached an entry, so the final answer covers the whole
	// request.
	neverReached bool
	// answerErrs lists the answers that ended as complete but were invalid.
	answerErrs []error
}

// appendHistory adds the last answer to the history.
func (r *record) appendHistory() {
	l := r.last
	r.history = append(r.history, fmt.Sprintf("%s %s %s %d %s %q resumed %t",
		time.Now().Format(clockFormat), l.call.addr, l.outcome, l.status, l.code, l.message, l.call.resumes()))
}

// clockFormat is the time format of the processes' logs.
const clockFormat = "15:04:05.000"

// loadCallers is the number of callers in a load, each with its own address list.
const loadCallers = 8

func newLoad(c *cluster, o loadOptions) *load {
	l := &load{cluster: c, options: o, caller: newCaller(c.callLog), stopped: make(chan struct{})}
	for range loadCallers {
		l.caches = append(l.caches, newAddressCache(c, o.keepAddresses))
	}
	return l
}

func (l *load) start() {
	ctx, cancel := context.WithCancel(context.Background())
	l.stop = cancel
	go l.run(ctx)
}

// run starts requests at the configured rate, independent of their duration.
func (l *load) run(ctx context.Context) {
	defer close(l.stopped)
	began := time.Now()
	rng := rand.New(rand.NewPCG(l.options.seed, 1))
	for n := 0; l.options.maxRequests == 0 || n < l.options.maxRequests; n++ {
		due := began.Add(time.Duration(float64(n) / l.options.rate * float64(time.Second)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(due)):
		}
		o := l.newCall(n, rng)
		l.started.Add(1)
		l.tasks.Go(func() { l.addRecord(l.request(o, l.caches[n%len(l.caches)])) })
	}
}

func (l *load) addRecord(r record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, r)
}

// finish stops the load, waits for the requests under way and returns the records.
func (l *load) finish() []record {
	l.stop()
	return l.wait()
}

// wait waits until every request of a bounded load has ended.
func (l *load) wait() []record {
	<-l.stopped
	l.tasks.Wait()
	l.caller.http.CloseIdleConnections()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.records
}

// abandon stops the load without waiting.
func (l *load) abandon() { l.stop() }

var (
	loadOrgs   = []string{"cartagena", "santa-marta", "barranquilla", "turbo", "tolu"}
	loadModels = []string{"dues", "lines", "dues@2", "lines@1", "lines@2"}
)

// newCall generates the n-th request: a chat request (whole or streamed), an idempotent GET of
// a receipt, or a settlement that must not run twice.
func (l *load) newCall(n int, rng *rand.Rand) call {
	key := fmt.Sprintf("%s-%d-%d", l.options.name, l.options.seed, n)
	o := call{org: loadOrgs[rng.IntN(len(loadOrgs))], key: key}
	if l.options.org != "" {
		o.org = l.options.org
	}
	model := loadModels[rng.IntN(len(loadModels))]
	kind := rng.IntN(10)
	if l.options.chatOnly || l.options.model != "" {
		kind %= 6
	}
	switch {
	case kind < 3:
		o.model, o.text = model, "text of "+key
	case kind < 6:
		o.model, o.text, o.stream = model, "text of "+key, true
	case kind < 8:
		o.service, o.method, o.path = testService, "GET", "/receipts/"+key
	default:
		o.service, o.method, o.path, o.body = testService, "POST", "/settlements", `{"call":"`+key+`"}`
	}
	if l.options.model != "" {
		o.model = l.options.model
	}
	return o
}
