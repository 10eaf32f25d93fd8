package load

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// Text writes the report as plain text. The error is that of w.
func (r *Report) Text(w io.Writer) error {
	fmt.Fprintf(w, "mix %s, %s arrivals at %g a second in all, seed %d, %.1f s, the first %.1f s left out\n",
		r.Mix, r.Arrivals, r.PerSecond, r.Seed, r.Seconds, r.WarmUpSeconds)
	fmt.Fprintf(w, "this program started requests late by p50 %s, p99 %s, at most %s\n",
		micros(r.Lag.P50), micros(r.Lag.P99), micros(r.Lag.Max))
	for i := range r.Lanes {
		if err := r.Lanes[i].text(w); err != nil {
			return err
		}
	}
	return r.ratioText(w)
}

func (l *LaneReport) text(w io.Writer) error {
	fmt.Fprintf(w, "\n%s: %d requests, %.1f a second\n", l.Name, l.Total.Sent, l.PerSecond)
	fmt.Fprintf(w, "  outcomes  %s\n", list(l.Total.Outcomes))
	fmt.Fprintf(w, "  codes     %s\n", list(l.Total.Codes))
	fmt.Fprintf(w, "  answers   %s, the warm-up's included\n", list(l.Total.Checks))
	fmt.Fprintf(w, "  versions  %s\n", list(l.Total.Versions))
	fmt.Fprintf(w, "  cost      %d micro-units for %d input and %d output tokens; %d redials\n\n",
		l.Total.CostMicros, l.Total.InputTokens, l.Total.OutputTokens, l.Total.Redials)
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, "  class\tsent\tcompleted\tdone/s\tfigure\tmean\tp50\tp90\tp95\tp99\tp99.9\tmax\t")
	l.Total.rows(tw)
	for i := range l.Classes {
		l.Classes[i].rows(tw)
	}
	return tw.Flush()
}

func (t *ClassReport) rows(w io.Writer) {
	figures := []struct {
		name string
		l    *Latency
	}{{"whole", &t.Whole}, {"first token", &t.FirstToken}, {"between tokens", &t.Gap}}
	for _, n := range figures {
		if n.l.Count == 0 {
			continue
		}
		fmt.Fprintf(w, "  %s\t%d\t%d\t%.1f\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t\n", t.Class, t.Sent, t.Whole.Count, t.DonePerSecond, n.name,
			micros(int64(n.l.Mean)), micros(n.l.P50), micros(n.l.P90), micros(n.l.P95), micros(n.l.P99), micros(n.l.P999), micros(n.l.Max))
	}
}

func (r *Report) ratioText(w io.Writer) error {
	if len(r.Ratios) == 0 {
		return nil
	}
	fmt.Fprintf(w, "\n%s to %s, in this run:\n", r.Lanes[0].Name, r.Lanes[1].Name)
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	for _, ratio := range r.Ratios {
		fmt.Fprintf(tw, "  %s\t%s\t%s\t%.3f\t\n", ratio.Figure, micros(ratio.First), micros(ratio.Second), ratio.Ratio)
	}
	return tw.Flush()
}

func micros(us int64) string {
	d := time.Duration(us) * time.Microsecond
	switch {
	case d >= time.Second:
		return fmt.Sprintf("%.2fs", d.Seconds())
	case d >= time.Millisecond:
		return fmt.Sprintf("%.2fms", float64(us)/1000)
	default:
		return fmt.Sprintf("%dµs", us)
	}
}

func list(counts []Count) string {
	if len(counts) == 0 {
		return "none"
	}
	parts := make([]string, 0, len(counts))
	for _, c := range counts {
		parts = append(parts, fmt.Sprintf("%s %d", c.Name, c.N))
	}
	return strings.Join(parts, ", ")
}
