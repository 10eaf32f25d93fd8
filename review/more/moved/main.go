// Command moved plays a request that crashes each runner that begins to run it, one second after it has
// begun.
package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hickorybank/hickorybank/review/standin"
)

const (
	// stable is stable_ms of the settings.
	stable = 3 * time.Second
	// maxRetries is how many retries of the request may reach runners later than stable after it has
	// crashed the third.
	maxRetries = 3
	// costlyCrashes is the number of crashes from which on retries count.
	costlyCrashes = 3
	// returnsEvery is the pause after which the request comes again, at the next machine.
	returnsEvery = 5 * time.Second
	// playTime is how long it keeps coming.
	playTime = 62 * time.Second
	// crashDelay is how long the request runs before it crashes its runner.
	crashDelay = time.Second
	// warmUp is how long only sound requests are sent.
	warmUp = 6 * time.Second
	// soundEvery is the pause between two sound requests at each machine.
	soundEvery = 200 * time.Millisecond
	timeLimit  = 5 * time.Second
	crashPath  = "/tag/crashes"
)

func main() { os.Exit(play(os.Args[1], os.Getenv("TROUBLE") != "0")) }

// play runs the case in a folder and returns its exit code.
func play(folder string, trouble bool) int {
	record, err := standin.NewRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return standin.ExitNotRun
	}
	code, err := run(record, trouble)
	if err != nil {
		record.Add("the case could not run: %v", err)
		code = standin.ExitNotRun
	}
	record.Add("exit code %d", code)
	if err := record.Close(); err != nil {
		return standin.ExitNotRun
	}
	return code
}

func run(record *standin.Record, trouble bool) (int, error) {
	w, err := standin.NewWorld(record, []string{"target/hickorybank", "gateway"})
	if err != nil {
		return standin.ExitNotRun, err
	}
	defer w.Close()
	w.Store.Put("op", "config", map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name": "berth-tag", "host": standin.Host, "prefix": "/tag/", "kind": "stream", "service": "hickory-llm",
			"timeout_ms": 5000, "latency_goal_ms": 4000, "gap_aim_ms": 1200, "priority": 2, "max_attempts": 3, "sticky": true, "resumable": true,
		}},
		"services": []map[string]any{{"name": "hickory-llm", "health_path": "/healthz", "max_conns": 290}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []map[string]any{{"name": "agents", "api_keys": []string{standin.Key}}},
	})
	if err := w.AddMachines(standin.Cartagena); err != nil {
		return standin.ExitNotRun, err
	}
	p := &poison{world: w, record: record, sent: map[string]send{}}
	for i := range 18 {
		r, err := w.AddRunner(fmt.Sprintf("engine-%d", i+1), "hickory-llm", "v1", 48, 100, 20*time.Millisecond)
		if err != nil {
			return standin.ExitNotRun, err
		}
		r.Events, r.Pause = 4, 10*time.Millisecond
		if trouble {
			r.SetCrash(crashPath, crashDelay, p.noteBegin, p.noteCrash)
		}
	}
	w.StartAll()
	if err := w.AwaitReady(15 * time.Second); err != nil {
		return standin.ExitNotRun, err
	}
	ended := make(chan struct{})
	var sound sync.WaitGroup
	for _, m := range w.Machines {
		sound.Go(func() { p.sendSound(m, ended) })
	}
	time.Sleep(warmUp)
	p.sendCrashing()
	close(ended)
	sound.Wait()
	return p.judge(), nil
}

// send is when and where an attempt of the request was sent.
type send struct {
	at      time.Time
	machine *standin.Machine
}

type poison struct {
	world         *standin.World
	record        *standin.Record
	served, other atomic.Int64

	mu      sync.Mutex
	sent    map[string]send
	crashes int
	// costlyAt is when the request crashed the third runner.
	costlyAt time.Time
	// late are the attempts that count; lateRuns is how often runners began to run them.
	late     map[string]bool
	lateRuns int
}

// noteBegin counts a run of the request, if it is late and its machine is in touch.
func (p *poison) noteBegin(id string) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.sent[id]
	inTouch := s.machine != nil && s.at.Sub(s.machine.RunningSince()) > stable
	counts := !p.costlyAt.IsZero() && s.at.Sub(p.costlyAt) > stable && now.Sub(p.costlyAt) > stable && inTouch
	p.record.Add("a runner begins to run %s (%d crashes before, machine in touch: %t, counts: %t)", id, p.crashes, inTouch, counts)
	if counts {
		if p.late == nil {
			p.late = map[string]bool{}
		}
		p.late[id] = true
		p.lateRuns++
	}
}

func (p *poison) noteCrash() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.crashes++; p.crashes == costlyCrashes {
		p.costlyAt = time.Now()
	}
}

// sendCrashing sends the request again and again, each time to the next machine.
func (p *poison) sendCrashing() {
	began := time.Now()
	for n := 0; time.Since(began) < playTime; n++ {
		p.sendOnce(p.world.Machines[n%len(p.world.Machines)], fmt.Sprintf("crash-%d", n+1))
		time.Sleep(returnsEvery)
	}
}

// sendOnce sends one attempt of the request: the same path, caller and body each time.
func (p *poison) sendOnce(m *standin.Machine, id string) {
	p.mu.Lock()
	p.sent[id] = send{time.Now(), m}
	p.mu.Unlock()
	p.record.Add("client sends %s to %s", id, m.Name)
	c, err := standin.Open(m.Front)
	if err != nil {
		p.record.Add("client has no channel for %s: %v", id, err)
		return
	}
	defer func() { _ = c.Close() }() // the machine may have closed it
	a, err := c.Do(&standin.Request{Method: http.MethodPost, Path: crashPath, ID: id, Deadline: timeLimit, Body: []byte("a berth record")})
	p.record.Add("client gets %d to %s (error %v, Retry-After %q)", a.Status, id, err, a.RetryAfter)
}

// sendSound sends sound requests to a machine until ended is closed.
func (p *poison) sendSound(m *standin.Machine, ended <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-ended:
			return
		case <-time.After(soundEvery):
		}
		id := fmt.Sprintf("sound-%s-%d", m.Name, n+1)
		c, err := standin.Open(m.Front)
		if err != nil {
			p.other.Add(1)
			continue
		}
		a, err := c.Do(&standin.Request{Method: http.MethodPost, Path: "/tag/" + id, ID: id, Deadline: timeLimit, Body: []byte(id)})
		_ = c.Close() // the machine may have closed it
		if err == nil && a.Status == http.StatusOK {
			p.served.Add(1)
		} else {
			p.other.Add(1)
			p.record.Add("sound request %s gets %d (error %v)", id, a.Status, err)
		}
	}
}

// judge returns the exit code.
func (p *poison) judge() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	text := fmt.Sprintf("retries that count: %d in %d attempts, at most %d allowed; crashes in all: %d; sound requests: %d served, %d others", p.lateRuns, len(p.late), maxRetries, p.crashes, p.served.Load(), p.other.Load())
	p.record.Add("%s", text)
	fmt.Println(text)
	// An attempt counts once, although it may have crashed two runners.
	if len(p.late) > maxRetries {
		return standin.ExitBroken
	}
	return standin.ExitHeld
}
