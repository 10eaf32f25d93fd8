package capacity

import (
	"math"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rotisserie/eris"
)

const pagePath = "../../docs/CAPACITY.md"

func readPage(t *testing.T) string {
	t.Helper()
	page, err := os.ReadFile(pagePath)
	if err != nil {
		t.Fatal(err)
	}
	return string(page)
}

// The page becomes inconsistent if a figure is edited by hand, or if the model or a default
// setting changes without rendering the page. Rendering the points of the page must reproduce
// its text.
func TestPageFollowsFromItsSlopes(t *testing.T) {
	is := is.New(t)
	part, err := Generated(readPage(t))
	is.NoErr(err)
	slopes, err := Parse(part)
	is.NoErr(err)
	report, err := NewReport(slopes)
	is.NoErr(err)
	want := strings.Split(Render(report), "\n")
	got := strings.Split(part, "\n")
	for i := range min(len(want), len(got)) {
		if want[i] != got[i] {
			t.Fatalf("line %d of the generated part differs; run: hickorybank capacity --render --write docs/CAPACITY.md\npage:  %s\nmodel: %s", i+1, got[i], want[i])
		}
	}
	is.Equal(len(got), len(want)) // the page has all lines and no more
}

// A probe that is added or renamed is missing from the page until it is measured again.
func TestPageHasEveryProbe(t *testing.T) {
	is := is.New(t)
	slopes, err := Parse(readPage(t))
	is.NoErr(err)
	probes := Probes()
	is.Equal(len(slopes), len(probes))
	for i, p := range probes {
		is.Equal(slopes[i].Name, p.Slope.Name)
		is.Equal(slopes[i].What, p.Slope.What)
		is.Equal(slopes[i].Per, p.Slope.Per)
		is.Equal(slopes[i].Unit, p.Slope.Unit)
		is.Equal(len(slopes[i].Points), len(p.Sizes)) // a full run, not a quick one
		for j, point := range slopes[i].Points {
			is.Equal(point.Size, float64(p.Sizes[j]))
		}
	}
}

func TestFit(t *testing.T) {
	for _, c := range []struct {
		name   string
		points []Point
		want   Line
	}{
		{"a line", []Point{{2, 14}, {8, 26}, {128, 266}}, Line{Intercept: 10, Slope: 2}},
		{"one point", []Point{{0, 5}}, Line{Intercept: 5}},
		{"nothing", []Point{{1, 0}, {2, 0}}, Line{}},
		{"flat", []Point{{1, 7}, {1000, 7}}, Line{Intercept: 7}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			got := Fit(c.points)
			const close = 1e-9
			is.True(math.Abs(got.Intercept-c.want.Intercept) < close)
			is.True(math.Abs(got.Slope-c.want.Slope) < close)
			is.True(got.Residual < close)
		})
	}
}

func TestFitResidualOfACurve(t *testing.T) {
	is := is.New(t)
	// The residual must show that a line does not fit a curve.
	curve := Fit([]Point{{1, 1}, {10, 100}, {100, 10_000}})
	is.True(curve.Residual > 0.1)
	is.Equal(Line{Intercept: -5, Slope: 1}.At(2), 0.0) // no cost is below 0
}

func TestParseRejectsMalformedPages(t *testing.T) {
	is := is.New(t)
	for _, page := range []string{"", "### Measured slopes\n", "### Measured slopes\n| `a` | b |\n", "### Measured slopes\n| `a` | w | p | ns | 1;2 | 0 | 0 | 0 |\n"} {
		_, err := Parse(page)
		is.True(err != nil)
	}
	_, err := Generated("no markers")
	is.True(eris.Is(err, errMalformedPage))
	_, err = Replace("no markers", "x")
	is.True(err != nil)
}

func TestReplaceKeepsTextOutsideTheMarkers(t *testing.T) {
	is := is.New(t)
	page := "before\n" + beginMarker + "\nold\n" + endMarker + "\nafter\n"
	next, err := Replace(page, "new\n")
	is.NoErr(err)
	is.Equal(next, "before\n"+beginMarker+"\nnew\n"+endMarker+"\nafter\n")
}

func TestModelReportsAMissingSlope(t *testing.T) {
	is := is.New(t)
	_, err := NewReport(nil)
	is.True(eris.Is(err, ErrMissing))
}

// A probe that fails would otherwise be detected only at the next measurement of the page.
func TestEveryProbeMeasures(t *testing.T) {
	is := is.New(t)
	tiny := Meter{Span: 1, Rounds: 1, Window: 1}
	for _, p := range Probes() {
		least := p
		least.Sizes = p.Sizes[:1]
		s, err := least.Run(tiny, false)
		is.NoErr(err)
		is.Equal(len(s.Points), 1)
		is.True(s.Points[0].Value >= 0)
	}
}
