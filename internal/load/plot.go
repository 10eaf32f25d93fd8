package load

import (
	"fmt"
	"html"
	"io"
	"math"
	"strings"
)

// Dimensions of the plot in pixels.
const (
	plotWidth  = 900
	plotHeight = 480
	plotLeft   = 70
	plotRight  = 20
	plotTop    = 40
	plotBottom = 60
	// plotMaxNines is the number of nines at the right end of the plot: 99.99%.
	plotMaxNines = 4.0
	legendGap    = 18
)

var (
	plotColours = []string{"#1b6ca8", "#c8553d", "#3f8f4f", "#8a5fb0"}
	plotTicks   = []float64{0, 50, 90, 99, 99.9, 99.99}
)

// series is one line of the plot.
type series struct {
	name   string
	points []Point
}

// SVG writes a plot of the latency distributions. Each line shows the time within which
// a share of the requests ended. The error is that of w.
func (r *Report) SVG(w io.Writer) error {
	var lines []series
	for i := range r.Lanes {
		l := &r.Lanes[i]
		lines = append(lines,
			series{l.Name + ", whole", l.Total.Whole.Curve},
			series{l.Name + ", first token", l.Total.FirstToken.Curve})
	}
	p := newPlot(lines)
	var b strings.Builder
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="12">`+"\n", plotWidth, plotHeight)
	fmt.Fprintf(&b, `<rect width="100%%" height="100%%" fill="white"/>`+"\n")
	title := fmt.Sprintf("Mix %s, %s arrivals, %g a second in all, seed %d", r.Mix, r.Arrivals, r.PerSecond, r.Seed)
	p.text(&b, plotLeft, plotTop/2, "start", title)
	p.axes(&b)
	for i, line := range lines {
		p.line(&b, i, line)
	}
	b.WriteString("</svg>\n")
	_, err := io.WriteString(w, b.String())
	return err
}

// plot maps values to pixels.
type plot struct {
	maxMicros float64
}

func newPlot(lines []series) plot {
	p := plot{maxMicros: 1000}
	for _, l := range lines {
		for _, point := range l.points {
			p.maxMicros = max(p.maxMicros, float64(point.Micros))
		}
	}
	return p
}

// x returns the horizontal position of a quantile. Each further nine takes the same
// width, which stretches the tail.
func (p plot) x(quantile float64) float64 {
	nines := plotMaxNines
	if quantile < 100 {
		nines = min(-math.Log10(1-quantile/100), plotMaxNines)
	}
	return plotLeft + nines/plotMaxNines*(plotWidth-plotLeft-plotRight)
}

func (p plot) y(micros float64) float64 {
	return plotHeight - plotBottom - micros/p.maxMicros*(plotHeight-plotTop-plotBottom)
}

func (p plot) text(b *strings.Builder, x, y float64, anchor, text string) {
	fmt.Fprintf(b, `<text x="%.1f" y="%.1f" text-anchor="%s">%s</text>`+"\n", x, y, anchor, html.EscapeString(text))
}

func (p plot) axes(b *strings.Builder) {
	const steps = 5
	for i := range steps + 1 {
		value := p.maxMicros * float64(i) / steps
		y := p.y(value)
		fmt.Fprintf(b, `<line x1="%d" x2="%d" y1="%.1f" y2="%.1f" stroke="#ddd"/>`+"\n", plotLeft, plotWidth-plotRight, y, y)
		p.text(b, plotLeft-6, y+4, "end", micros(int64(value)))
	}
	for _, q := range plotTicks {
		x := p.x(q)
		fmt.Fprintf(b, `<line x1="%.1f" x2="%.1f" y1="%d" y2="%d" stroke="#ddd"/>`+"\n", x, x, plotTop, plotHeight-plotBottom)
		p.text(b, x, plotHeight-plotBottom+18, "middle", fmt.Sprintf("%g%%", q))
	}
	p.text(b, (plotLeft+plotWidth-plotRight)/2, plotHeight-plotBottom+38, "middle", "part of the requests within the time")
}

func (p plot) line(b *strings.Builder, i int, s series) {
	if len(s.points) == 0 {
		return
	}
	colour := plotColours[i%len(plotColours)]
	coordinates := make([]string, 0, len(s.points))
	for _, point := range s.points {
		coordinates = append(coordinates, fmt.Sprintf("%.1f,%.1f", p.x(point.Quantile), p.y(float64(point.Micros))))
	}
	fmt.Fprintf(b, `<polyline fill="none" stroke="%s" stroke-width="2" points="%s"/>`+"\n", colour, strings.Join(coordinates, " "))
	y := float64(plotTop + (i+1)*legendGap)
	fmt.Fprintf(b, `<rect x="%d" y="%.1f" width="12" height="4" fill="%s"/>`+"\n", plotLeft+10, y-6, colour)
	p.text(b, plotLeft+28, y, "start", s.name)
}
