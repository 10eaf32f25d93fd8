package node

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/hickorybank/hickorybank/internal/standin/engine"
)

const (
	// crashStable is the time from the fifth crash until at most maxLateCrashes engines may crash.
	// Sound first tries count from twice that time on, for crashTime.
	crashStable    = 3 * time.Second
	crashTime      = 4 * time.Second
	maxLateCrashes = 3
	// badMessage crashes each engine that begins to answer a request with it.
	badMessage = "the message that crashes engines"
)

// chatOf returns the body of a chat with some messages.
func chatOf(messages ...string) string {
	var list []map[string]string
	for _, m := range messages {
		list = append(list, map[string]string{"role": "user", "content": m})
	}
	body, err := json.Marshal(map[string]any{"model": "dues@2", "messages": list})
	if err != nil {
		panic(err) // strings always encode
	}
	return string(body)
}

// crashTimes polls the engines and returns when each crash was seen.
func (f *fleet) crashTimes(until time.Time) (times []time.Time) {
	for ; time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		crashes := 0
		for _, e := range f.engines {
			crashes += e.Counts().Crashes
		}
		for len(times) < crashes {
			times = append(times, time.Now())
		}
	}
	return times
}

// Fails if requests that share a message that crashes engines go on crashing them, or sound ones
// that share their other messages are refused with them.
func TestMessageThatCrashesEnginesIsRefused(t *testing.T) {
	t.Parallel()
	size := fleetSize{nodes: 4, engines: 18, tokens: 4, tokenGap: 10 * time.Millisecond, firstToken: 30 * time.Millisecond}
	f := newFleet(t, size)
	for _, e := range f.engines {
		if err := e.ChangeFaults(func(faults *engine.Faults) error {
			faults.CrashMarker, faults.RestartMillis = badMessage, 2500
			return nil
		}); err != nil {
			t.Fatal(err)
		}
	}
	type try struct {
		at     time.Time
		served bool
	}
	begun := time.Now().Add(2 * time.Second)
	until := begun.Add(5*crashStable + crashTime) // the fifth crash may be that of a trial, 5 s after the conviction
	var mu sync.Mutex
	var tries []try
	failures := map[string]int{}
	var callers sync.WaitGroup
	send := func(k int, sound bool) {
		second := badMessage
		if sound {
			second = fmt.Sprint("second ", k%60)
		}
		sent := time.Now()
		r, err := f.post(f.nodes[k%size.nodes], callerRequest{
			path: "/v1/chat/completions", key: fmt.Sprintf("k-%v-%d", sound, k), body: chatOf("first", second, fmt.Sprint("own ", sound, k)),
			header: map[string]string{"Hickorybank-Timeout-Ms": "3000"},
		})
		served := err == nil && r.status == http.StatusOK
		mu.Lock()
		defer mu.Unlock()
		if sound {
			tries = append(tries, try{sent, served})
			if !served {
				failures[fmt.Sprint(r.status, err, r.body)]++
			}
		}
	}
	callers.Go(func() {
		for k := 0; time.Now().Before(until); k++ {
			callers.Go(func() { send(k, true) })
			time.Sleep(20 * time.Millisecond)
		}
	})
	callers.Go(func() {
		time.Sleep(time.Until(begun))
		for k := 0; time.Now().Before(until); k++ {
			callers.Go(func() { send(k, false) })
			time.Sleep(150 * time.Millisecond)
		}
	})
	crashes := f.crashTimes(until)
	callers.Wait()
	for text, count := range failures {
		t.Logf("%d times %s", count, text)
	}
	if len(crashes) == 0 {
		t.Fatal("no engine crashed")
	}
	fifth := crashes[min(4, len(crashes)-1)]
	late := 0
	for _, at := range crashes {
		if at.After(fifth.Add(crashStable)) {
			late++
		}
	}
	var sent, served [2]int // before the crashes, after twice the bound
	for _, try := range tries {
		i := 0
		if try.at.After(fifth.Add(2 * crashStable)) {
			i = 1
		} else if !try.at.Before(begun) {
			continue
		}
		sent[i]++
		if try.served {
			served[i]++
		}
	}
	t.Logf("%d crashes, %d late; served %d of %d before, %d of %d after", len(crashes), late, served[0], sent[0], served[1], sent[1])
	if late > maxLateCrashes {
		t.Errorf("%d engines crashed later than %v after the fifth crash, %d may", late, crashStable, maxLateCrashes)
	}
	if sent[1] < 20 || 2*served[1]*sent[0] < served[0]*sent[1] {
		t.Errorf("%d of %d sound first tries were served, %d of %d before the crashes", served[1], sent[1], served[0], sent[0])
	}
}
