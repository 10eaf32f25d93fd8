package load

import (
	"cmp"
	"slices"
	"time"
)

// recorder collects the results of a run.
type recorder struct {
	settings Settings
	lanes    []*laneRecorder
	lag      histogram
}

// laneRecorder collects the results of one lane, in total and by class.
type laneRecorder struct {
	name    string
	total   *classRecorder
	classes map[string]*classRecorder
}

func newFigures(s Settings, lanes []Lane) *recorder {
	f := &recorder{settings: s, lag: newHistogram()}
	for _, l := range lanes {
		f.lanes = append(f.lanes, &laneRecorder{name: l.Name(), total: newTally("all"), classes: map[string]*classRecorder{}})
	}
	return f
}

func (f *recorder) add(r *Result) {
	measured := r.Job.At >= f.settings.WarmUp
	lane := f.lanes[r.Job.Lane]
	class, ok := lane.classes[r.Job.Work.Class]
	if !ok {
		class = newTally(r.Job.Work.Class)
		lane.classes[r.Job.Work.Class] = class
	}
	for _, t := range []*classRecorder{lane.total, class} {
		t.addCheck(r)
		if f.settings.isMeasured(r.Ended) {
			t.addCompletion(r)
		}
		if measured {
			t.add(r)
		}
	}
	if measured {
		f.lag.add(r.Started - r.Job.At)
	}
}

func (f *recorder) report(began time.Time, took time.Duration) *Report {
	s := f.settings
	r := &Report{
		Run: s.Run, Mix: s.Mix.Name, Arrivals: s.Arrivals, PerSecond: s.PerSecond, Seed: s.Seed,
		Began: began.UTC(), Seconds: took.Seconds(), WarmUpSeconds: s.WarmUp.Seconds(),
		Lag: f.lag.latency(false),
	}
	for _, lane := range f.lanes {
		r.Lanes = append(r.Lanes, lane.report(s.Duration-s.WarmUp))
	}
	if len(r.Lanes) == 2 {
		r.Ratios = ratios(&r.Lanes[0].Total, &r.Lanes[1].Total)
	}
	return r
}

func (l *laneRecorder) report(measured time.Duration) LaneReport {
	line := LaneReport{Name: l.name, Total: l.total.report(true, measured), PerSecond: float64(l.total.sent) / measured.Seconds()}
	for _, t := range l.classes {
		line.Classes = append(line.Classes, t.report(false, measured))
	}
	slices.SortFunc(line.Classes, func(a, b ClassReport) int { return cmp.Compare(a.Class, b.Class) })
	return line
}

// ratios compares two lanes. It leaves out figures that one of them did not measure.
func ratios(a, b *ClassReport) []Ratio {
	var list []Ratio
	add := func(figure string, x, y Latency) {
		if x.Count == 0 || y.Count == 0 {
			return
		}
		list = append(list,
			Ratio{Figure: figure + " p50", First: x.P50, Second: y.P50, Ratio: float64(x.P50) / float64(y.P50)},
			Ratio{Figure: figure + " p99", First: x.P99, Second: y.P99, Ratio: float64(x.P99) / float64(y.P99)})
	}
	add("whole", a.Whole, b.Whole)
	add("first token", a.FirstToken, b.FirstToken)
	add("between tokens", a.Gap, b.Gap)
	return list
}
