// Command case5 lets a caller repeat a request that crashes the runners that run it, kills all
// processes of the system in between, and counts how often the request still reaches runners. With the
// argument "moved" nothing is killed, and the request crashes its runners later than an attempt is moved.
package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/hickorybank/hickorybank/review/standin"
)

const (
	crashPath = "/records/crash"
	deadline  = 1500 * time.Millisecond
	// period is the pause between two times that the caller sends the request; each time it
	// repeats it once after a failure.
	period = 4 * time.Second
	// times is how often the caller comes, killedAfter after how many times all processes are killed.
	times       = 15
	killedAfter = 6
	// lateCrash is how long the request runs before it crashes its runner, as in the users' record;
	// earlyCrash is sooner than an attempt is moved.
	lateCrash  = 77 * time.Millisecond
	earlyCrash = 15 * time.Millisecond
	// stable is stable_ms, maxLate how many retries the rule allows later than that after the third
	// crash.
	stable  = 3 * time.Second
	maxLate = 3
	// callers send sound requests.
	callers = 12
)

// arrival is a crashing request that a runner began to run.
type arrival struct {
	at      time.Time
	machine *standin.Machine
	// inTouch is set if the machine's process had run for stable_ms.
	inTouch bool
}

type run struct {
	world    *standin.World
	mu       sync.Mutex
	next     int
	machines map[string]*standin.Machine
	arrivals []arrival
	crashes  []time.Time
	sound    map[int]int
	crashing map[int]int
}

func main() {
	dir := os.Args[1]
	record, err := standin.NewRecord(filepath.Join(dir, "record.txt"))
	if err != nil {
		fmt.Println(err)
		os.Exit(standin.ExitNotRun)
	}
	restart := len(os.Args) < 3 || os.Args[2] != "moved"
	code, err := play(record, os.Getenv("TROUBLE") != "0", restart)
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

func play(record *standin.Record, trouble, restart bool) (int, error) {
	w, err := standin.NewWorld(record, []string{"target/hickorybank", "gateway"})
	if err != nil {
		return 0, err
	}
	defer w.Close()
	r := &run{world: w, machines: map[string]*standin.Machine{}, sound: map[int]int{}, crashing: map[int]int{}}
	w.Store.Put("op", "config", config())
	delay := lateCrash
	if restart {
		delay = earlyCrash
	}
	for i := range 4 {
		runner, err := w.AddRunner("i-records"+strconv.Itoa(i), "records", "v1", 6, 24, 15*time.Millisecond)
		if err != nil {
			return 0, err
		}
		runner.SetCrash(crashPath, delay, r.noteArrival, r.noteCrash)
	}
	if err := w.AddMachines(standin.Registre); err != nil {
		return 0, err
	}
	w.StartAll()
	if err := w.AwaitReady(20 * time.Second); err != nil {
		return 0, err
	}
	path := crashPath
	if !trouble && !restart {
		path = "/records/2"
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for range callers {
		clients.Go(func() { r.callSound(stop) })
	}
	time.Sleep(2 * stable)
	for i := range times {
		if i == killedAfter && trouble && restart {
			r.killAll()
		}
		next := time.Now().Add(period)
		r.callCrashing(path)
		time.Sleep(time.Until(next))
	}
	close(stop)
	clients.Wait()
	return r.judge(trouble || restart), nil
}

func config() map[string]any {
	return map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "r-records", "host": standin.Host, "prefix": "/records/", "kind": "safe", "service": "records", "timeout_ms": 1500,
			"latency_goal_ms": 100, "max_attempts": 2, "priority": 2, "public": false, "sticky": false,
		}},
		"services": []any{map[string]any{"name": "records", "health_path": "/healthz", "max_conns": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "tenant", "api_keys": []string{standin.Key}, "priority": 1}},
	}
}

// killAll kills all processes at once, and waits until they have run for stable_ms again.
func (r *run) killAll() {
	for _, m := range r.world.Machines {
		m.Signal(syscall.SIGKILL)
	}
	time.Sleep(stable + 2*time.Second)
}

// noteArrival records that a runner has begun to run the crashing request.
func (r *run) noteArrival(id string) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.machines[id]
	a := arrival{now, m, now.Sub(m.RunningSince()) >= stable}
	r.arrivals = append(r.arrivals, a)
	r.world.Record.Add("crashing request %s, sent to %s, begins to run (%d so far, machine in touch: %v)", id, m.Name, len(r.arrivals), a.inTouch)
}

// noteCrash records that a runner has crashed.
func (r *run) noteCrash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashes = append(r.crashes, time.Now())
}

// callCrashing sends the crashing request, and once more after a failure, to another machine.
func (r *run) callCrashing(path string) {
	order := rand.Perm(len(r.world.Machines))
	for _, i := range order[:2] {
		status := r.send(r.world.Machines[i], path)
		r.mu.Lock()
		r.crashing[status]++
		r.mu.Unlock()
		if status == http.StatusOK {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (r *run) callSound(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(rand.N(800 * time.Millisecond)):
		}
		status := r.send(r.world.Machines[rand.IntN(len(r.world.Machines))], "/records/1")
		r.mu.Lock()
		r.sound[status]++
		r.mu.Unlock()
	}
}

// send sends a request; the status is 0 if there was no answer.
func (r *run) send(m *standin.Machine, path string) int {
	r.mu.Lock()
	r.next++
	id := fmt.Sprintf("req-%d", r.next)
	r.machines[id] = m
	r.mu.Unlock()
	c, err := standin.Open(m.Front)
	if err != nil {
		return 0
	}
	defer func() { _ = c.Close() }() // the next request may go to another machine
	r.world.Record.Add("sent %s %s to %s", id, path, m.Name)
	a, err := c.Do(&standin.Request{Method: http.MethodGet, Path: path, ID: id, Deadline: deadline})
	r.world.Record.Add("%s: answer %d %v", id, a.Status, err)
	if err != nil {
		return 0
	}
	return a.Status
}

// judge counts the crashing requests that reached runners late.
func (r *run) judge(crashes bool) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if crashes && len(r.crashes) < 3 || r.sound[http.StatusOK] == 0 {
		fmt.Println("fewer than three crashes, or nothing served")
		return standin.ExitNotRun
	}
	var from time.Time
	if crashes {
		from = r.crashes[2].Add(stable)
	}
	late := 0
	for _, a := range r.arrivals {
		if a.inTouch && a.at.After(from) {
			late++
		}
	}
	text := fmt.Sprintf("%d crashing requests reached runners and crashed them %d times, %d of them later than %v after the third, from machines in touch (the rule allows %d); answers to the caller %v, to sound requests %v",
		len(r.arrivals), len(r.crashes), late, stable, maxLate, r.crashing, r.sound)
	r.world.Record.Add("%s", text)
	fmt.Println(text)
	if late > maxLate {
		return standin.ExitBroken
	}
	return standin.ExitHeld
}
