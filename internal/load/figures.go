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
	line := Line{Name: l.name, Total: l.total.figures(true), PerSecond: float64(l.total.sent) / measured.Seconds()}
	for _, t := range l.classes {
		line.Classes = append(line.Classes, t.figures(false))
	}
	slices.SortFunc(line.Classes, func(a, b Tally) int { return cmp.Compare(a.Class, b.Class) })
	return line
}

func ratios(a, b *Tally) []Ratio {
	ratio := func(figure string, x, y int64) Ratio {
		r := Ratio{Figure: figure, First: x, Second: y}
		if y > 0 {
			r.Ratio = float64(x) / float64(y)
		}
		return r
	}
	return []Ratio{
		ratio("whole p50", a.Whole.P50, b.Whole.P50),
		ratio("whole p99", a.Whole.P99, b.Whole.P99),
		ratio("first token p50", a.FirstToken.P50, b.FirstToken.P50),
		ratio("first token p99", a.FirstToken.P99, b.FirstToken.P99),
		ratio("between tokens p50", a.Gap.P50, b.Gap.P50),
		ratio("between tokens p99", a.Gap.P99, b.Gap.P99),
	}
}
