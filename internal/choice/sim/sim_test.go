package sim

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/choice"
	"github.com/hickorybank/hickorybank/internal/choice/baseline"
)

func hourOf(deployment string) Config {
	return Config{Deployment: deployment, Seed: 1, Duration: time.Hour}
}

func mustRun(t *testing.T, cfg Config) Result {
	t.Helper()
	r, err := Run(cfg)
	is.New(t).NoErr(err)
	return r
}

// Within the first hour, starting without any data, the chooser must cost less than the
// best version and give better quality than the cheapest. Otherwise a baseline without
// ratings would serve operators as well.
func TestChooserBeatsTheBaselines(t *testing.T) {
	is := is.New(t)
	for _, deployment := range []string{"tarifas", "sahel"} {
		chosen := mustRun(t, hourOf(deployment))
		best := hourOf(deployment)
		best.Policy = func() choice.Policy { return baseline.Best{} }
		cheapest := hourOf(deployment)
		cheapest.Policy = func() choice.Policy { return baseline.Cheapest{} }
		is.True(chosen.Cost < 0.9*mustRun(t, best).Cost)
		is.True(chosen.LowestMargin() > mustRun(t, cheapest).LowestMargin())
		is.True(chosen.Cost < 1.25*chosen.OracleCost)
		is.Equal(chosen.SignificantMisses(), 0)
		is.Equal(chosen.FalseAlarms, 0)
	}
}

// A serving version degrades to half its quality. It must be held within fifty answers,
// and no other version may be held.
func TestDegradedVersionIsHeldWithinFiftyAnswers(t *testing.T) {
	is := is.New(t)
	for _, version := range []string{"dues@1", "lines@1", "dues@3"} {
		cfg := hourOf("tarifas")
		cfg.Duration = 25 * time.Minute
		cfg.Changes = []Change{{At: 15 * time.Minute, Version: version, Factor: 0.5}}
		r := mustRun(t, cfg)
		t.Log(version, r.Degradations)
		is.True(r.Degradations[0].HeldAt >= 0)
		is.True(r.Degradations[0].Answers <= 50)
		is.Equal(r.FalseAlarms, 0)
	}
}

// A staged version must not answer hundreds of requests while none is rated. With the
// rating service down from the start, it gets no more than the first grants, which stay
// below its cap, and the cap is never lifted.
func TestNoExposureWithoutRatings(t *testing.T) {
	is := is.New(t)
	cfg := hourOf("sahel")
	cfg.Outages = []Outage{{From: 0, To: 2 * time.Hour}}
	r := mustRun(t, cfg)
	t.Log(r.ExposedAnswers)
	is.True(r.ExposedAnswers["assess@6"] < 20)
	is.Equal(len(r.CapLifted), 0)
}

func TestSameSeedGivesSameResult(t *testing.T) {
	is := is.New(t)
	cfg := hourOf("sahel")
	cfg.Duration = 20 * time.Minute
	a, b := mustRun(t, cfg), mustRun(t, cfg)
	is.Equal(a.Cost, b.Cost)
	is.Equal(a.Answers, b.Answers)
	is.Equal(a.OrgClasses, b.OrgClasses)
}
