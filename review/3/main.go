// Command 3 plays a change of the configuration that adds a route with several models, whose streams
// may not be resumed.
package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hickorybank/hickorybank/review/standin"
)

const (
	// applyTime and stable are config_apply_ms and stable_ms of the settings.
	applyTime = 2 * time.Second
	stable    = 3 * time.Second
	// draftsPerSecond and notesPerSecond are the site's rates, playTime how long requests are counted.
	draftsPerSecond = 18
	notesPerSecond  = 47
	laterPerSecond  = 5
	playTime        = 20 * time.Second
	timeLimit       = 25 * time.Second
	// leastRequests is the number of requests on the later route from which the rule holds, leastPart
	// the part of the share of the first routes that it has to be served at.
	leastRequests = 20
	leastPart     = 0.25
)

const draftPrefix, notePrefix, laterPrefix = "/dossier/", "/note/", "/fiche/"

// confidence returns a model's opinion of its answer. Only notes are easy enough for the small one.
func confidence(model, path string) (opinion int, known bool) {
	opinions := map[string]int{"small": 35, "medium": 60, "large": 95}
	if strings.HasPrefix(path, notePrefix) {
		opinions = map[string]int{"small": 85, "medium": 90, "large": 95}
	}
	opinion, known = opinions[model]
	return opinion, known
}

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

// first returns the first configuration, with two kinds of streams.
func first() map[string]any {
	return configuration(7, route("dossier-synthese", draftPrefix, 0, true), route("note-examen", notePrefix, 1, true))
}

// second returns the next configuration, which adds a route. Its streams may be resumed if resumable is
// set.
func second(resumable bool) map[string]any {
	c := first()
	c["version"], c["routes"] = 9, append(c["routes"].([]map[string]any), route("fiche-securite", laterPrefix, 1, resumable))
	return c
}

func route(name, prefix string, priority int, resumable bool) map[string]any {
	return map[string]any{
		"name": name, "host": standin.Host, "prefix": prefix, "kind": "stream", "service": "redacteur-llm",
		"timeout_ms": 25000, "latency_goal_ms": 3000, "gap_aim_ms": 1200, "priority": priority, "max_attempts": 3,
		"sticky": true, "resumable": resumable, "sizes": []string{"small", "medium", "large"},
	}
}

func configuration(version int, routes ...map[string]any) map[string]any {
	return map[string]any{
		"version": version,
		"routes":  routes,
		"services": []map[string]any{{
			"name": "redacteur-llm", "health_path": "/healthz", "max_conns": 300,
			"engine": map[string]any{"slots": 48, "kv_capacity": 534333, "models": []map[string]any{
				{"name": "small", "cost": 0.019}, {"name": "medium", "cost": 0.14}, {"name": "large", "cost": 0.29},
			}},
		}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": "instructors", "api_keys": []string{standin.Key}}},
	}
}

func run(record *standin.Record, trouble bool) (int, error) {
	w, err := standin.NewWorld(record, []string{"target/hickorybank", "gateway"})
	if err != nil {
		return standin.ExitNotRun, err
	}
	defer w.Close()
	w.Store.Put("op", "config", first())
	if err := w.AddMachines(standin.Registre); err != nil {
		return standin.ExitNotRun, err
	}
	for i := range 18 {
		r, err := w.AddRunner(fmt.Sprintf("engine-%d", i+1), "redacteur-llm", "v1", 48, 100, 50*time.Millisecond)
		if err != nil {
			return standin.ExitNotRun, err
		}
		r.Events, r.Pause, r.Confidence = 20, 20*time.Millisecond, confidence
	}
	w.StartAll()
	if err := w.AwaitReady(15 * time.Second); err != nil {
		return standin.ExitNotRun, err
	}
	w.Store.Put("op", "config", second(!trouble))
	record.Add("the store confirms configuration 9, with a route whose streams may be resumed: %t", !trouble)
	time.Sleep(applyTime + stable)
	kinds := []*kind{
		{name: "dossier-synthese", prefix: draftPrefix, perSecond: draftsPerSecond},
		{name: "note-examen", prefix: notePrefix, perSecond: notesPerSecond},
		{name: "fiche-securite", prefix: laterPrefix, perSecond: laterPerSecond, later: true},
	}
	var users sync.WaitGroup
	for _, k := range kinds {
		users.Go(func() { k.send(w) })
	}
	users.Wait()
	return judge(record, kinds), nil
}

// kind is a kind of request, with what its clients got.
type kind struct {
	name, prefix string
	perSecond    int
	// later is set if the second configuration has added the kind's route.
	later                bool
	sent, served, failed atomic.Int64
}

// send sends the requests of a kind, each to the next machine.
func (k *kind) send(w *standin.World) {
	var requests sync.WaitGroup
	ticker := time.NewTicker(time.Second / time.Duration(k.perSecond))
	defer ticker.Stop()
	for n := range k.perSecond * int(playTime.Seconds()) {
		<-ticker.C
		requests.Go(func() { k.sendOnce(w, w.Machines[n%len(w.Machines)], fmt.Sprintf("%s-%d", k.name, n+1)) })
	}
	requests.Wait()
}

func (k *kind) sendOnce(w *standin.World, m *standin.Machine, id string) {
	k.sent.Add(1)
	w.Record.Add("client sends %s to %s", id, m.Name)
	c, err := standin.Open(m.Front)
	if err != nil {
		w.Record.Add("client has no channel for %s: %v", id, err)
		return
	}
	defer func() { _ = c.Close() }() // the machine may have closed it
	a, err := c.Do(&standin.Request{
		Method: http.MethodPost, Path: k.prefix + "draft", ID: id, Deadline: timeLimit, Body: []byte(id),
		Header: []string{"Model: *", "Token-Counts: 6610,384", "Prompt-Prefix: 5c1e07a2:512," + fmt.Sprintf("%x", len(id)) + ":6098"},
	})
	w.Record.Add("client gets %d to %s, %d bytes, signature %q (error %v)", a.Status, id, len(a.Body), a.Signature, err)
	if err == nil && a.Status == http.StatusOK {
		k.served.Add(1)
	} else {
		k.failed.Add(1)
	}
}

// judge returns the exit code: the rule is broken if the later route is served less than a quarter as
// often as the first ones.
func judge(record *standin.Record, kinds []*kind) int {
	var sent, served [2]float64
	for _, k := range kinds {
		i := 0
		if k.later {
			i = 1
		}
		sent[i], served[i] = sent[i]+float64(k.sent.Load()), served[i]+float64(k.served.Load())
		text := fmt.Sprintf("%s: %d of %d served, %d failed", k.name, k.served.Load(), k.sent.Load(), k.failed.Load())
		record.Add("%s", text)
		fmt.Println(text)
	}
	if sent[1] >= leastRequests && served[1]/sent[1] < leastPart*served[0]/sent[0] {
		return standin.ExitBroken
	}
	return standin.ExitHeld
}
