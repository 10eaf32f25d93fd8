package share

import (
	"context"
	"sync"
	"time"

	"github.com/hickorybank/hickorybank/internal/choice"
	"github.com/hickorybank/hickorybank/internal/config"
	"github.com/hickorybank/hickorybank/internal/platform"
)

// reports sends the summaries of the versions to their collectors and takes
// the pools that come back.
type reports struct {
	deps    Deps
	archive *archive
	sent    map[string]time.Time // by version; used by one duty only
	collect map[string]bool      // versions that this node collects
}

func newReports(d Deps, a *archive) *reports {
	return &reports{deps: d, archive: a, sent: map[string]time.Time{}, collect: map[string]bool{}}
}

func (r *reports) send(ctx context.Context, now time.Time) {
	snapshot := r.deps.Snapshot()
	if snapshot == nil {
		return
	}
	g := newGroup(r.deps.Self, r.deps.Members())
	var calls sync.WaitGroup
	for _, b := range r.batches(g, due{sent: r.sent, now: now, gap: reportGap(g), urgent: r.deps.Chooser.Suspects()}.versions(snapshot)) {
		calls.Go(func() { r.call(ctx, b) })
	}
	calls.Wait()
}

// batch is what one collector gets.
type batch struct {
	to       platform.VM
	versions []string
}

// batches groups the versions by collector. Those that this node collects it
// keeps.
func (r *reports) batches(g group, versions []string) []batch {
	var list []batch
	at := map[string]int{}
	for _, version := range versions {
		to := g.collector(version)
		if to.ID == r.deps.Self.ID {
			r.begin(version)
			continue
		}
		delete(r.collect, version)
		i, ok := at[to.ID]
		if !ok {
			i = len(list)
			at[to.ID] = i
			list = append(list, batch{to: to})
		}
		list[i].versions = append(list[i].versions, version)
	}
	return list
}

// begin takes over the collecting of a version.
func (r *reports) begin(version string) {
	if r.collect[version] {
		return
	}
	r.collect[version] = true
	r.deps.Chooser.Collect(version)
	r.archive.want(version)
}

// call sends one report, and another at once to a collector that turns out to
// lack what was told to the one before it. A lost call or answer needs no care:
// the next report holds all that this one does.
func (r *reports) call(ctx context.Context, b batch) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for range 2 {
		report := r.deps.Chooser.Report(b.versions)
		var pool choice.Pool
		if r.deps.Peers.Call(ctx, b.to.Peer, methodReport, &report, &pool) != nil {
			return
		}
		r.deps.Chooser.TakePool(pool)
		if !report.Lacks(pool) {
			return
		}
	}
}

func reportGap(g group) time.Duration {
	if len(g.members) <= smallGroup {
		return quickReport
	}
	return slowReport
}

// due decides which versions are to be reported.
type due struct {
	sent   map[string]time.Time
	now    time.Time
	gap    time.Duration
	urgent []string
}

func (d due) versions(s *config.Snapshot) []string {
	urgent := map[string]bool{}
	for _, version := range d.urgent {
		urgent[version] = true
	}
	var list []string
	for i := range s.Doc.Models {
		for _, v := range s.Doc.Models[i].Versions {
			if v.State == config.Withdrawn || !urgent[v.Name] && d.now.Sub(d.sent[v.Name]) < d.gap {
				continue
			}
			d.sent[v.Name] = d.now
			list = append(list, v.Name)
		}
	}
	return list
}
