// Command 7 kills all gateways at the same time, after they have found out that a request crashes
// the runners that run it.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hickorybank/hickorybank/review/fleet2"
)

const (
	gates   = 6
	runners = 8
	// copies is how many clients send the request at the same time.
	copies = 4
	// mostRetries is how many retries may reach runners later than stable_ms after the third crash.
	mostRetries = 3
	timeout     = 1500 * time.Millisecond
	between     = 6 * time.Second
	// work is how long a sound request runs.
	work = 150 * time.Millisecond
)

func main() { os.Exit(fleet2.Main(gates, prepare, run)) }

var places *fleet2.Places

func prepare(w *fleet2.World) error {
	places = &fleet2.Places{Store: w.Store, Record: w.Record, Down: 3 * time.Second,
		New: func(id string) *fleet2.Runner {
			return &fleet2.Runner{ID: id, Service: "plain", Version: "v1", Slots: 6, Queue: 4, Work: func(*http.Request) time.Duration { return work }}
		},
		Crashes: func(r *http.Request) bool { return strings.HasSuffix(r.URL.Path, "/bad") },
	}
	return places.Start(runners)
}

func run(w *fleet2.World) (broken bool, err error) {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var down atomic.Bool
	go w.Clients.Load(ctx, 40, func(i int) *fleet2.Gate {
		if down.Load() {
			return nil
		}
		return w.Gates[i%gates]
	}, "/once/sound", timeout, nil)
	waves := 0
	wave := func() {
		w.Say("the request that crashes runners comes at %d gateways", copies)
		for i := range copies {
			w.Clients.Go(w.Gates[(waves+i)%gates], "/once/bad", timeout, map[string]string{fleet2.Body: "the same body"})
		}
		waves++
		time.Sleep(between)
	}
	wave()
	wave()
	if fleet2.Trouble() {
		down.Store(true)
		for _, g := range w.Gates {
			g.Signal(syscall.SIGKILL)
		}
		for _, g := range w.Gates {
			g.Kill()
		}
		time.Sleep(time.Second)
		if err := w.StartGates(); err != nil {
			return false, err
		}
		down.Store(false)
	}
	time.Sleep(between)
	wave()
	wave()
	stop()
	w.Clients.Wait()
	return judge(w)
}

// judge counts the retries that have reached runners by gateways in touch later than stable_ms after
// the third crash.
func judge(w *fleet2.World) (broken bool, err error) {
	crashed := places.Crashed()
	if len(crashed) < mostRetries {
		return false, fmt.Errorf("only %d runners have crashed", len(crashed))
	}
	slices.SortFunc(crashed, time.Time.Compare)
	from := crashed[2].Add(fleet2.InTouch)
	startedAt := map[string]time.Time{}
	for _, g := range w.Gates {
		startedAt[g.Name] = g.StartedAt
	}
	answers := map[string]fleet2.Answer{}
	cut := 0
	for _, a := range w.Clients.Answers() {
		answers[a.ID] = a
		if strings.HasSuffix(a.Path, "/sound") && a.Status == http.StatusBadGateway && a.Sent.After(from) {
			cut++
		}
	}
	retries := 0
	for _, x := range places.Arrivals() {
		a := answers[x.ID]
		// The gateways that run now have been killed at most once, before they were started last.
		if strings.HasSuffix(a.Path, "/bad") && x.At.After(from) && x.At.After(startedAt[a.Gate].Add(fleet2.InTouch)) {
			w.Say("retry %s reaches runner %s by %s, which has run for %.1f s", x.ID, x.Runner, a.Gate, x.At.Sub(startedAt[a.Gate]).Seconds())
			retries++
		}
	}
	w.Say("%d retries by gateways in touch reached runners later than %v after the third crash; %d may", retries, fleet2.InTouch, mostRetries)
	w.Say("%d runners crashed; %d sound unsafe requests that ran there since were cut (502)", len(crashed), cut)
	return retries > mostRetries, nil
}
