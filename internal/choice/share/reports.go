package share

import (
	"context"
	"sync"
	"time"

	"github.com/hickorybank/hickorybank/internal/choice"
	"github.com/hickorybank/hickorybank/internal/config"
	"github.com/hickorybank/hickorybank/internal/platform"
)

// reports sends the summaries of the versions to their collectors and applies the pools
// that they return.
type reports struct {
	deps       Deps
	archive    *archive
	sent       map[string]time.Time // by version; used only by the send loop
	collecting map[string]bool      // versions that this node collects; used only by the send loop
}

func newReports(d Deps, a *archive) *reports {
	return &reports{deps: d, archive: a, sent: map[string]time.Time{}, collecting: map[string]bool{}}
}

// send sends reports on the versions that are due.
func (r *reports) send(ctx context.Context, now time.Time) {
	snapshot := r.deps.Snapshot()
	if snapshot == nil {
		return
	}
	g := newGroup(r.deps.Self, r.deps.Members())
	var calls sync.WaitGroup
	for _, b := range r.batches(g, schedule{sent: r.sent, now: now, interval: reportInterval(g), urgent: r.deps.Chooser.Suspects()}.due(snapshot)) {
		calls.Go(func() { r.call(ctx, b) })
	}
	calls.Wait()
}

// batch holds the versions that one collector is sent in one report.
type batch struct {
	to       platform.VM
	versions []string
}

// batches groups the versions by collector. Versions that this node collects itself are
// left out.
func (r *reports) batches(g group, versions []string) []batch {
	var list []batch
	batchOf := map[string]int{}
	for _, version := range versions {
		to := g.collector(version)
		if to.ID == r.deps.Self.ID {
			r.startCollecting(version)
			continue
		}
		delete(r.collecting, version)
		i, ok := batchOf[to.ID]
		if !ok {
			i = len(list)
			batchOf[to.ID] = i
			list = append(list, batch{to: to})
		}
		list[i].versions = append(list[i].versions, version)
	}
	return list
}

// startCollecting makes this node the collector of a version.
func (r *reports) startCollecting(version string) {
	if r.collecting[version] {
		return
	}
	r.collecting[version] = true
	r.deps.Chooser.Collect(version)
	r.archive.track(version)
}

// call sends one report, and at once a second one if the collector lacks data that an
// earlier collector had received. A lost call or reply needs no handling: the next report
// contains everything that this one does.
func (r *reports) call(ctx context.Context, b batch) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for range 2 {
		report := r.deps.Chooser.Report(b.versions)
		var pool choice.Pool
		if r.deps.Peers.Call(ctx, b.to.Peer, methodReport, &report, &pool) != nil {
			return
		}
		r.deps.Chooser.ApplyPool(pool)
		if !report.Lacks(pool) {
			return
		}
	}
}

func reportInterval(g group) time.Duration {
	if len(g.members) <= maxSmallGroup {
		return smallGroupReportInterval
	}
	return largeGroupReportInterval
}

// schedule decides which versions are due to be reported.
type schedule struct {
	sent     map[string]time.Time
	now      time.Time
	interval time.Duration
	urgent   []string
}

func (d schedule) due(s *config.Snapshot) []string {
	urgent := map[string]bool{}
	for _, version := range d.urgent {
		urgent[version] = true
	}
	var list []string
	for i := range s.Doc.Models {
		for _, v := range s.Doc.Models[i].Versions {
			if v.State == config.Withdrawn || !urgent[v.Name] && d.now.Sub(d.sent[v.Name]) < d.interval {
				continue
			}
			d.sent[v.Name] = d.now
			list = append(list, v.Name)
		}
	}
	return list
}
