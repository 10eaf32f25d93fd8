package load

import (
	"cmp"
	"slices"
	"time"
)

// figures gathers the results of a run.
type figures struct {
	settings Settings
	lanes    []*laneFigures
	lag      histogram
}

type laneFigures struct {
	name    string
	total   *tally
	classes map[string]*tally
}

func newFigures(s Settings, lanes []Lane) *figures {
	f := &figures{settings: s, lag: newHistogram()}
	for _, l := range lanes {
		f.lanes = append(f.lanes, &laneFigures{name: l.Name(), total: newTally("all"), classes: map[string]*tally{}})
	}
	return f
}

func (f *figures) add(r *Result) {
	measured := r.Job.At >= f.settings.WarmUp
	lane := f.lanes[r.Job.Lane]
	class, ok := lane.classes[r.Job.Work.Class]
	if !ok {
		class = newTally(r.Job.Work.Class)
		lane.classes[r.Job.Work.Class] = class
	}
	for _, t := range []*tally{lane.total, class} {
		t.check(r)
		if f.settings.measures(r.Ended) {
			t.end(r)
		}
		if measured {
			t.add(r)
		}
	}
	if measured {
		f.lag.add(r.Started - r.Job.At)
	}
}

func (f *figures) report(began time.Time, took time.Duration) *Report {
	s := f.settings
	r := &Report{
		Run: s.Run, Mix: s.Mix.Name, Arrivals: s.Arrivals, PerSecond: s.PerSecond, Seed: s.Seed,
		Began: began.UTC(), Seconds: took.Seconds(), WarmUpSeconds: s.WarmUp.Seconds(),
		Lag: f.lag.latency(false),
	}
	for _, lane := range f.lanes {
		r.Lanes = append(r.Lanes, lane.line(s.Duration-s.WarmUp))
	}
	if len(r.Lanes) == 2 {
		r.Ratios = ratios(&r.Lanes[0].Total, &r.Lanes[1].Total)
	}
	return r
}

func (l *laneFigures) line(measured time.Duration) Line {
	line := Line{Name: l.name, Total: l.total.figures(true, measured), PerSecond: float64(l.total.sent) / measured.Seconds()}
	for _, t := range l.classes {
		line.Classes = append(line.Classes, t.figures(false, measured))
	}
	slices.SortFunc(line.Classes, func(a, b Tally) int { return cmp.Compare(a.Class, b.Class) })
	return line
}

// ratios leaves out what one of the lanes did not measure.
func ratios(a, b *Tally) []Ratio {
	var all []Ratio
	add := func(figure string, x, y Latency) {
		if x.Count == 0 || y.Count == 0 {
			return
		}
		all = append(all,
			Ratio{Figure: figure + " p50", First: x.P50, Second: y.P50, Ratio: float64(x.P50) / float64(y.P50)},
			Ratio{Figure: figure + " p99", First: x.P99, Second: y.P99, Ratio: float64(x.P99) / float64(y.P99)})
	}
	add("whole", a.Whole, b.Whole)
	add("first token", a.FirstToken, b.FirstToken)
	add("between tokens", a.Gap, b.Gap)
	return all
}
