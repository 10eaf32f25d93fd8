// Command 1 brings in a good version of a service, restarts all machines in turn after that, and
// checks that the routes of the service are still served.
package main

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/hickorybank/hickorybank/review/standin"
)

const (
	// limit is the time limit of the roll-out, rolledAt when the machines are restarted after the
	// order.
	limit    = 16 * time.Second
	rolledAt = 50 * time.Second
	// gap is the pause between the stops of two machines.
	gap = 2 * time.Second
	// settle is longer than stable_ms, judged is how long requests count after it.
	settle = 5 * time.Second
	judged = 20 * time.Second
	// callers send one request after the other.
	callers  = 24
	deadline = 20 * time.Second
	// minRequests and part are the rule's: so many requests on the later routes, and such a part of
	// them served in comparison with the first routes.
	minRequests = 20
	part        = 0.25
)

type run struct {
	world *standin.World
	old   []*standin.Runner
	mu    sync.Mutex
	next  int
	// counting is set while requests count.
	counting bool
	// sent and served are the counts by path.
	sent, served map[string]int
	statuses     map[int]int
}

func main() {
	dir := os.Args[1]
	record, err := standin.NewRecord(filepath.Join(dir, "record.txt"))
	if err != nil {
		fmt.Println(err)
		os.Exit(standin.ExitNotRun)
	}
	code, err := play(record, os.Getenv("TROUBLE") != "0")
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

func play(record *standin.Record, trouble bool) (int, error) {
	w, err := standin.NewWorld(record, []string{"target/hickorybank", "gateway"})
	if err != nil {
		return 0, err
	}
	defer w.Close()
	r := &run{world: w, sent: map[string]int{}, served: map[string]int{}, statuses: map[int]int{}}
	w.Store.Put("op", "config", config(1, false))
	for i := range 4 {
		runner, err := w.AddRunner(fmt.Sprintf("i-records%d", i), "records", "v1", 6, 24, 15*time.Millisecond)
		if err != nil {
			return 0, err
		}
		defer runner.Close()
	}
	if r.old, err = r.addDrafts("v1"); err != nil {
		return 0, err
	}
	if err := w.AddMachines(standin.Registre); err != nil {
		return 0, err
	}
	w.StartAll()
	if err := w.AwaitReady(20 * time.Second); err != nil {
		return 0, err
	}
	time.Sleep(2 * time.Second)
	record.Add("configuration 2 adds a route of the service drafts")
	w.Store.Put("op", "config", config(2, true))
	time.Sleep(3 * time.Second)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range callers {
		clients.Go(func() { r.call(stop, []string{"/records/1", "/drafts/1"}[i%2]) })
	}
	time.Sleep(2 * time.Second)
	completed, err := r.rollOut()
	if err == nil && !completed {
		err = fmt.Errorf("the version was not completed, so there is nothing to see")
	}
	if err == nil && trouble {
		r.restartInTurn()
	}
	if err == nil {
		time.Sleep(settle)
		r.count(true)
		time.Sleep(judged)
		r.count(false)
	}
	close(stop)
	clients.Wait()
	if err != nil {
		return 0, err
	}
	return r.judge(), nil
}

func config(version int, drafts bool) map[string]any {
	routes := []any{map[string]any{
		"name": "r-records", "host": standin.Host, "prefix": "/records/", "kind": "safe", "service": "records", "timeout_ms": 1500,
		"latency_goal_ms": 100, "max_attempts": 3, "priority": 2, "public": false, "sticky": false,
	}}
	if drafts {
		routes = append(routes, map[string]any{
			"name": "r-drafts", "host": standin.Host, "prefix": "/drafts/", "kind": "stream", "service": "drafts", "timeout_ms": 20000,
			"latency_goal_ms": 3000, "gap_aim_ms": 1200, "max_attempts": 3, "priority": 1, "public": false, "sticky": true, "resumable": true,
		})
	}
	return map[string]any{
		"version": version, "routes": routes,
		"services": []any{
			map[string]any{"name": "records", "health_path": "/healthz", "max_conns": 110, "protocol": "h1", "tls": false},
			map[string]any{"name": "drafts", "health_path": "/healthz", "max_conns": 300, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 48, "kv_capacity": 534333, "models": []any{map[string]any{"name": "m", "cost": 0.1}},
			}},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "tenant", "api_keys": []string{standin.Key}, "priority": 1}},
	}
}

// addDrafts starts the runners of one version of the service.
func (r *run) addDrafts(version string) (runners []*standin.Runner, err error) {
	for i := range 6 {
		runner, err := r.world.AddRunner(fmt.Sprintf("i-drafts-%s-%d", version, i), "drafts", version, 48, 100, 60*time.Millisecond)
		if err != nil {
			return nil, err
		}
		runner.Events, runner.Pause = 8, 15*time.Millisecond
		runners = append(runners, runner)
	}
	return runners, nil
}

// rollOut orders the roll-out and waits until the machines are to be restarted. Once it is
// completed, the old runners stop, as the pages say.
func (r *run) rollOut() (completed bool, err error) {
	began := time.Now()
	r.world.Record.Add("operator orders version v2 of drafts within %v", limit)
	r.world.Store.Put("op", "rollout/drafts", map[string]any{"service": "drafts", "target": "v2", "duration_s": limit.Seconds()})
	fresh, err := r.addDrafts("v2")
	if err != nil {
		return false, err
	}
	for time.Since(began) < rolledAt {
		var status struct{ Target, State string }
		if !completed && r.world.Store.Value("status", "rollout/drafts", &status) && status.State != "running" {
			r.world.Record.Add("roll-out is %s", status.State)
			if status.State != "completed" {
				return false, nil
			}
			completed = true
			for _, old := range r.old {
				old.Leave()
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	_ = fresh // they run until the end
	return completed, nil
}

// restartInTurn stops all machines in turn, by zone and name; each is started again when its
// process has ended.
func (r *run) restartInTurn() {
	order := slices.Clone(r.world.Machines)
	slices.SortFunc(order, func(a, b *standin.Machine) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Name, b.Name))
	})
	for _, m := range order {
		began := time.Now()
		m.Signal(syscall.SIGTERM)
		m.AwaitEnd()
		for !m.IsReady() && time.Since(began) < 10*time.Second {
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(time.Until(began.Add(gap)))
	}
}

// call sends one request after the other, each to a random machine.
func (r *run) call(stop <-chan struct{}, path string) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(rand.N(200 * time.Millisecond)):
		}
		r.request(path)
	}
}

func (r *run) request(path string) {
	m := r.world.Machines[rand.IntN(len(r.world.Machines))]
	c, err := standin.Open(m.Front)
	if err != nil {
		return // the client takes another machine
	}
	defer func() { _ = c.Close() }() // the next request may go to another machine
	r.mu.Lock()
	r.next++
	id := fmt.Sprintf("req-%d", r.next)
	counting := r.counting
	r.mu.Unlock()
	method := http.MethodGet
	if path != "/records/1" {
		method = http.MethodPost
	}
	r.world.Record.Add("sent %s %s to %s", id, path, m.Name)
	a, err := c.Do(&standin.Request{Method: method, Path: path, ID: id, Deadline: deadline, Body: []byte("{}")})
	r.world.Record.Add("%s: answer %d %v", id, a.Status, err)
	if !counting {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent[path]++
	if err == nil {
		r.statuses[a.Status]++
		if a.Status == http.StatusOK && a.Signature != "" {
			r.served[path]++
		}
	}
}

func (r *run) count(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counting = on
}

// judge compares how often requests on the later route and on the first route are served.
func (r *run) judge() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	first, later := "/records/1", "/drafts/1"
	text := fmt.Sprintf("%d of %d requests on the first route were served, %d of %d on the one that was added later; answers %v",
		r.served[first], r.sent[first], r.served[later], r.sent[later], r.statuses)
	r.world.Record.Add("%s", text)
	fmt.Println(text)
	if r.sent[first] < minRequests || r.sent[later] < minRequests || r.served[first] == 0 {
		return standin.ExitNotRun
	}
	shareFirst := float64(r.served[first]) / float64(r.sent[first])
	shareLater := float64(r.served[later]) / float64(r.sent[later])
	if shareLater < part*shareFirst {
		return standin.ExitBroken
	}
	return standin.ExitHeld
}
