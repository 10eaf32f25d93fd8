// Command case1 lets many users send bodies of the permitted size at once, and checks that no
// process loses its running requests.
package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"github.com/hickorybank/hickorybank/review/standin"
)

const (
	machines = 6
	memoryMB = 134
	clients  = 200
	// plainRate is the usual number of calls a second, as on the users' sheet.
	plainRate = 29.0
	// burstUsers send one large body each, spread evenly over burstTime: 0.7 times the usual 113 requests a
	// second for 3 s.
	burstUsers = 237
	burstTime  = 3 * time.Second
	// maxBody is max_body_bytes of the configuration.
	maxBody = 4 << 20
	// uploadRate is what a user's line carries in a second.
	uploadRate = 2_500_000
	deadline   = 20 * time.Second
	warmUp     = 6 * time.Second
	after      = 12 * time.Second
	// failurePause is the pause of a client after a request that was not served.
	failurePause = 2 * time.Second
	// maxLost is how many requests the rule leaves out.
	maxLost = 3
)

type run struct {
	world   *standin.World
	runners []*standin.Runner
	next    int
	mu      sync.Mutex
	// closed are the requests whose channel had carried others and ended without an answer.
	closed []string
	// cut counts the streams that ended early after their answer had begun.
	cut              int
	answers          map[int]int
	sentSmall, large int
}

func main() {
	dir := os.Args[1]
	record, err := standin.NewRecord(filepath.Join(dir, "record.txt"))
	if err != nil {
		fmt.Println(err)
		os.Exit(standin.ExitNotRun)
	}
	code := play(record, os.Getenv("TROUBLE") != "0")
	if err := record.Close(); err != nil {
		fmt.Println(err)
		code = standin.ExitNotRun
	}
	os.Exit(code)
}

func play(record *standin.Record, trouble bool) int {
	w, err := standin.NewWorld(record, []string{"target/hickorybank", "gateway"})
	if err != nil {
		fmt.Println(err)
		return standin.ExitNotRun
	}
	defer w.Close()
	w.Store.Put("op", "config", config())
	r := &run{world: w, answers: map[int]int{}}
	for i := range 4 {
		runner, err := w.AddRunner("i-orders"+strconv.Itoa(i), "orders", "v1", 6, 24, 60*time.Millisecond)
		if err != nil {
			fmt.Println(err)
			return standin.ExitNotRun
		}
		defer runner.Close()
		r.runners = append(r.runners, runner)
	}
	for i := range 18 {
		runner, err := w.AddRunner(fmt.Sprintf("i-drafts%02d", i), "drafts", "v1", 48, 144, 600*time.Millisecond)
		if err != nil {
			fmt.Println(err)
			return standin.ExitNotRun
		}
		runner.Events, runner.Pause = 30, 50*time.Millisecond
		defer runner.Close()
		r.runners = append(r.runners, runner)
	}
	if err := w.AddMachines(standin.Cartagena); err != nil {
		fmt.Println(err)
		return standin.ExitNotRun
	}
	w.StartAll()
	if err := w.AwaitReady(20 * time.Second); err != nil {
		fmt.Println(err)
		return standin.ExitNotRun
	}
	r.traffic(trouble)
	return r.judge()
}

func config() map[string]any {
	return map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "r-orders", "host": standin.Host, "prefix": "/orders/", "kind": "unsafe", "service": "orders", "timeout_ms": 20000,
			"latency_goal_ms": 300, "max_attempts": 3, "priority": 2, "public": false, "sticky": false,
		}, map[string]any{
			"name": "r-drafts", "host": standin.Host, "prefix": "/drafts/", "kind": "stream", "service": "drafts", "timeout_ms": 25000,
			"latency_goal_ms": 3000, "gap_aim_ms": 1200, "max_attempts": 3, "priority": 1, "public": false, "sticky": true, "resumable": true,
		}},
		"services": []any{
			map[string]any{"name": "orders", "health_path": "/healthz", "max_conns": 96, "protocol": "h1", "tls": false},
			map[string]any{"name": "drafts", "health_path": "/healthz", "max_conns": 290, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 48, "kv_capacity": 455747, "models": []any{map[string]any{"name": "m", "cost": 0.1}},
			}},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": maxBody, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "tenant", "api_keys": []string{standin.Key}, "priority": 1}},
	}
}

// traffic sends small requests all the time, and with trouble large ones of many users at once.
func (r *run) traffic(trouble bool) {
	until := time.Now().Add(warmUp + after)
	var users sync.WaitGroup
	for i := range clients {
		users.Go(func() { r.client(until, i%10 == 0) })
	}
	time.Sleep(warmUp)
	if trouble {
		r.world.Record.Add("burst: %d users send bodies of %d bytes", burstUsers, maxBody)
		for i := range burstUsers {
			users.Go(func() { r.user(i) })
		}
	}
	users.Wait()
}

// client sends small requests on kept channels: calls, or requests for streams.
func (r *run) client(until time.Time, calls bool) {
	var c *standin.Channel
	path, wait := "/drafts/1", 0.0 // a stream lasts as long as the mean pause between two of a client
	if calls {
		path, wait = "/orders/1", clients/10/plainRate
	}
	kept := false
	for time.Now().Before(until) {
		time.Sleep(time.Duration(rand.ExpFloat64() * wait * float64(time.Second)))
		if c == nil {
			m := r.world.Machines[rand.IntN(machines)]
			var err error
			if c, err = standin.Open(m.Front); err != nil {
				c = nil
				time.Sleep(failurePause)
				continue
			}
			kept = false
		}
		served, keep := r.send(c, path, make([]byte, 600), 0, kept)
		kept = true
		if !keep {
			_ = c.Close() // the next request opens another one
			c = nil
		}
		if !served {
			time.Sleep(failurePause)
		}
	}
	if c != nil {
		_ = c.Close() // the run ends
	}
}

// user sends one large request at its turn in the burst.
func (r *run) user(i int) {
	time.Sleep(time.Duration(i) * burstTime / burstUsers)
	c, err := standin.Open(r.world.Machines[rand.IntN(machines)].Front)
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }() // the user has finished
	r.send(c, "/drafts/1", make([]byte, maxBody), uploadRate, false)
}

// send sends a request, on a channel that has carried others if kept is set. It reports whether the
// request was served, and whether the channel may be used again.
func (r *run) send(c *standin.Channel, path string, body []byte, rate int, kept bool) (served, keep bool) {
	r.mu.Lock()
	r.next++
	id := fmt.Sprintf("req-%d", r.next)
	if rate > 0 {
		r.large++
	} else {
		r.sentSmall++
	}
	r.mu.Unlock()
	r.world.Record.Add("sent %s (%d bytes) to %s", id, len(body), c.RemoteAddr())
	a, err := c.Do(&standin.Request{Method: http.MethodPost, Path: path, ID: id, Deadline: deadline, Body: body, BytesPerSecond: rate})
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil && a.Status != 0 {
		r.cut++
		r.world.Record.Add("%s: answer %d was cut off: %v", id, a.Status, err)
		return false, false
	}
	if err != nil {
		if kept {
			r.closed = append(r.closed, id)
		}
		r.world.Record.Add("%s: channel ended without an answer: %v", id, err)
		return false, false
	}
	r.answers[a.Status]++
	r.world.Record.Add("%s: answer %d", id, a.Status)
	return a.Status == http.StatusOK, a.Keep
}

// judge counts the requests that were passed on to a runner and whose channel ended without an
// answer.
func (r *run) judge() int {
	lost := 0
	for _, id := range r.closed {
		for _, runner := range r.runners {
			lost += min(runner.Runs(id), 1)
		}
	}
	kills := 0
	for _, m := range r.world.Machines {
		k, peak := m.Memory()
		kills += k
		r.world.Record.Add("%s: killed %d times for its memory, peak %d MB of %d MB", m.Name, k, peak, m.MemoryMB)
	}
	text := fmt.Sprintf("%d small and %d large requests, answers %v, %d answers were cut off, %d kept channels ended without an answer; of these requests %d were passed on to sound runners (the rule allows %d); %d processes were killed for their memory",
		r.sentSmall, r.large, r.answers, r.cut, len(r.closed), lost, maxLost, kills)
	r.world.Record.Add("%s", text)
	fmt.Println(text)
	if r.answers[http.StatusOK] == 0 {
		return standin.ExitNotRun
	}
	if lost > maxLost {
		return standin.ExitBroken
	}
	return standin.ExitHeld
}
