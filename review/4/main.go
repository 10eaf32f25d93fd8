// Command 4 lets one lookup crash the runners that run it, beside sound lookups on the same
// path with other queries, and counts the retries that reach runners.
package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/hickorybank/hickorybank/review/standin"
)

const (
	// lookups and checks are the usual numbers of requests a second, as on the users' sheet.
	lookups = 9.5
	checks  = 23.7
	clients = 30
	// tenants is the number of tenants; callerShare is the part of the lookups of the largest one, to
	// which the caller of the crashing request belongs.
	tenants     = 10
	callerShare = 0.3
	records     = 400
	// period is the time between two tries of the crashing request.
	period   = 4 * time.Second
	deadline = 1500 * time.Millisecond
	warmUp   = 6 * time.Second
	length   = 60 * time.Second
	// maxRetries is how many retries the rule allows later than stable after the third crash.
	crashesBefore = 3
	maxRetries    = 3
	stable        = 3 * time.Second
)

// crashQuery is the query of the request that crashes runners.
const crashQuery = "operator=unsound"

type run struct {
	world *standin.World
	// control is set if each record has a path of its own.
	control bool
	mu      sync.Mutex
	next    int
	crashes []time.Time
	// begun is when a runner first began to work on a try, by its ID.
	begun                       map[string]time.Time
	runs, tries, refusals       int
	sound, soundServed, refused int
}

func main() {
	dir := os.Args[1]
	record, err := standin.NewRecord(filepath.Join(dir, "record.txt"))
	if err != nil {
		fmt.Println(err)
		os.Exit(standin.ExitNotRun)
	}
	code, err := play(record, os.Getenv("TROUBLE") != "0", os.Getenv("CONTROL") == "1")
	if err != nil {
		fmt.Println(err)
		code = standin.ExitNotRun
	}
	if err := record.Close(); err != nil {
		fmt.Println(err)
		code = standin.ExitNotRun
	}
	os.Exit(code)
}

func play(record *standin.Record, trouble, control bool) (int, error) {
	w, err := standin.NewWorld(record, []string{"target/hickorybank", "gateway"})
	if err != nil {
		return 0, err
	}
	defer w.Close()
	r := &run{world: w, control: control, begun: map[string]time.Time{}}
	w.Store.Put("op", "config", config())
	for i := range 4 {
		runner, err := w.AddRunner(fmt.Sprintf("i-records%d", i), "records", "v1", 6, 24, 15*time.Millisecond)
		if err != nil {
			return 0, err
		}
		if trouble {
			path, query := r.crashing()
			runner.SetCrash(path, 5*time.Millisecond, r.noteBegun, r.noteCrash)
			runner.CrashQuery = query
		} else {
			runner.Spread = true
		}
		defer runner.Close()
	}
	if err := w.AddMachines(standin.Registre); err != nil {
		return 0, err
	}
	w.StartAll()
	if err := w.AwaitReady(20 * time.Second); err != nil {
		return 0, err
	}
	stop := make(chan struct{})
	var users sync.WaitGroup
	for range clients {
		users.Go(func() { r.client(stop) })
	}
	time.Sleep(warmUp)
	for until := time.Now().Add(length); time.Now().Before(until); time.Sleep(period) {
		r.try()
	}
	close(stop)
	users.Wait()
	return r.judge(), nil
}

func key(tenant int) string {
	if tenant == 0 {
		return standin.Key
	}
	return fmt.Sprintf("%s-%d", standin.Key, tenant)
}

func config() map[string]any {
	var all []any
	for i := range tenants {
		all = append(all, map[string]any{"name": fmt.Sprintf("tenant-%d", i), "api_keys": []string{key(i)}, "priority": 1})
	}
	return map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "r-lookups", "host": standin.Host, "prefix": "/lookups/", "kind": "safe", "service": "records", "timeout_ms": 800,
			"latency_goal_ms": 100, "max_attempts": 2, "priority": 2, "public": false, "sticky": false,
		}, map[string]any{
			"name": "r-checks", "host": standin.Host, "prefix": "/checks/", "kind": "unsafe", "service": "records", "timeout_ms": 800,
			"latency_goal_ms": 100, "max_attempts": 1, "priority": 2, "public": false, "sticky": false,
		}},
		"services": []any{map[string]any{"name": "records", "health_path": "/healthz", "max_conns": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  all,
	}
}

// lookup returns the target of the lookup of a record.
func (r *run) lookup(query string) string {
	if r.control {
		return "/lookups/logbook/" + query
	}
	return "/lookups/logbook?" + query
}

// crashing returns the path and the query of the request that crashes runners.
func (r *run) crashing() (path, query string) {
	if r.control {
		return r.lookup(crashQuery), ""
	}
	return "/lookups/logbook", crashQuery
}

// client sends sound lookups and checks of random tenants, on kept channels.
func (r *run) client(stop <-chan struct{}) {
	var c *standin.Channel
	defer func() {
		if c != nil {
			_ = c.Close() // the run ends
		}
	}()
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rand.ExpFloat64() * clients / (lookups + checks) * float64(time.Second))):
		}
		tenant := 0
		if rand.Float64() > callerShare {
			tenant = 1 + rand.IntN(tenants-1)
		}
		req := &standin.Request{Method: http.MethodGet, Path: r.lookup(fmt.Sprintf("operator=%d", rand.IntN(records))), ID: r.newID("sound"), Deadline: deadline, Key: key(tenant)}
		if rand.Float64() < checks/(lookups+checks) {
			req.Method, req.Path, req.Body = http.MethodPost, "/checks/1", fmt.Appendf(nil, `{"operator":%d}`, rand.IntN(records))
		}
		if c == nil {
			var err error
			if c, err = standin.Open(r.world.Machines[rand.IntN(len(r.world.Machines))].Front); err != nil {
				c = nil
				continue
			}
		}
		a, err := r.send(c, req)
		r.mu.Lock()
		r.sound++
		if err == nil && a.Status == http.StatusOK {
			r.soundServed++
		}
		if err == nil && a.Status == http.StatusServiceUnavailable {
			r.refused++
		}
		r.mu.Unlock()
		if err != nil || !a.Keep {
			_ = c.Close() // the next request opens another one
			c = nil
		}
	}
}

// try sends the request that crashes runners once, to a random machine.
func (r *run) try() {
	c, err := standin.Open(r.world.Machines[rand.IntN(len(r.world.Machines))].Front)
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }() // the next try may go to another machine
	a, err := r.send(c, &standin.Request{Method: http.MethodGet, Path: r.lookup(crashQuery), ID: r.newID("try"), Deadline: deadline, Key: key(0)})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tries++
	if err == nil && a.Status == http.StatusServiceUnavailable {
		r.refusals++
	}
}

func (r *run) newID(kind string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.next++
	return fmt.Sprintf("%s-%d", kind, r.next)
}

func (r *run) send(c *standin.Channel, req *standin.Request) (standin.Answer, error) {
	r.world.Record.Add("sent %s %s %s to %s", req.ID, req.Method, req.Path, c.RemoteAddr())
	a, err := c.Do(req)
	r.world.Record.Add("%s: answer %d, Retry-After %q, error %v", req.ID, a.Status, a.RetryAfter, err)
	return a, err
}

func (r *run) noteBegun(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs++
	if r.begun[id].IsZero() {
		r.begun[id] = time.Now()
	}
}

func (r *run) noteCrash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashes = append(r.crashes, time.Now())
}

// judge counts the tries that reached a runner later than stable after the third crash.
func (r *run) judge() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	late := 0
	if len(r.crashes) >= crashesBefore {
		from := r.crashes[crashesBefore-1].Add(stable)
		for _, at := range r.begun {
			if at.After(from) {
				late++
			}
		}
	}
	text := fmt.Sprintf("%d tries, %d runs, %d crashes, %d tries refused; %d retries reached a runner later than %v after the third crash (the rule allows %d); sound requests: %d sent, %d served, %d answered 503",
		r.tries, r.runs, len(r.crashes), r.refusals, late, stable, maxRetries, r.sound, r.soundServed, r.refused)
	r.world.Record.Add("%s", text)
	fmt.Println(text)
	if r.soundServed == 0 {
		return standin.ExitNotRun
	}
	if late > maxRetries {
		return standin.ExitBroken
	}
	return standin.ExitHeld
}
