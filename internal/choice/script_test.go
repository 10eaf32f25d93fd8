package choice

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/hickorybank/hickorybank/internal/choice/exposure"
	"github.com/hickorybank/hickorybank/internal/config"
)

// scenario runs the commands of a file in testdata against one chooser.
type scenario struct {
	t        *testing.T
	now      time.Time
	rng      *rand.Rand
	chooser  *Chooser
	snapshot *config.Snapshot
}

// The files in testdata state in their comments which failure each scenario tests for.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &scenario{t: t, now: start, rng: rand.New(rand.NewPCG(1, 2)), chooser: New(Settings{Node: "a", Epoch: 1})}
		datadriven.RunTest(t, path, func(_ *testing.T, d *datadriven.TestData) string { return s.run(d) })
	})
}

func (s *scenario) run(d *datadriven.TestData) string {
	switch d.Cmd {
	case "config":
		s.config(d)
	case "advance":
		gap, err := time.ParseDuration(d.CmdArgs[0].Key)
		if err != nil {
			return err.Error()
		}
		s.now = s.now.Add(gap)
	case "rate":
		s.rate(d)
	case "answers":
		for range s.number(d, "n", 1) {
			s.chooser.ObserveAnswer(Answer{Version: s.text(d, "version", ""), Class: "draft", Took: time.Duration(s.number(d, "seconds", 10)) * time.Second, InputTokens: 1000, OutputTokens: 300, Now: s.now})
		}
	case "errors":
		for range s.number(d, "n", 1) {
			s.chooser.ObserveError(s.text(d, "version", ""), "draft", s.now)
		}
	case "rating-fails":
		for range s.number(d, "n", 1) {
			s.chooser.ObserveRatingFailure(s.now)
		}
	case "choose":
		return s.choose(d)
	case "wants":
		return strings.Join(s.chooser.GrantsNeeded(s.now), " ")
	case "grant":
		s.chooser.ApplyGrant(s.text(d, "version", ""), exposure.Grant{Units: s.number(d, "units", 0), Open: d.HasArg("open")}, s.now)
	case "ready":
		return fmt.Sprint(s.chooser.CanLiftCap(s.text(d, "version", ""), s.now))
	case "lift":
		s.chooser.ApplyHold(Hold{Version: s.text(d, "version", ""), Term: uint64(s.number(d, "term", 1)), Lifted: true})
	case "holds":
		return s.holds()
	default:
		return "unknown command " + d.Cmd
	}
	return ""
}

func (s *scenario) config(d *datadriven.TestData) {
	doc := document(s.number(d, "versions", 3))
	if d.HasArg("preset") {
		doc.Preset = s.text(d, "preset", "")
	}
	doc.Classes[0].Cascade = !d.HasArg("no-cascades")
	doc.Organisations[0].Targets[0].Quality = float64(s.number(d, "target", 85)) / 100
	for i := range doc.Models[0].Versions {
		v := &doc.Models[0].Versions[i]
		if v.Name == s.text(d, "staged", "") {
			v.State = config.Staged
			v.Share = 0.25
			v.ExposureCap = s.number(d, "cap", 10)
		}
	}
	s.snapshot = compile(s.t, doc)
	s.chooser.Choose(request(s.snapshot, s.now, 0))
}

func (s *scenario) rate(d *datadriven.TestData) {
	mean, noise := float64(s.number(d, "mean", 80))/100, float64(s.number(d, "noise", 5))/100
	spread := float64(s.number(d, "spread", 15)) / 100
	for range s.number(d, "n", 1) {
		answer := mean + spread*s.rng.NormFloat64()
		o := Observation{Version: s.text(d, "version", ""), Class: "draft", IsFallback: d.HasArg("after-short"), Now: s.now}
		o.Score = min(max(answer+noise*s.rng.NormFloat64(), 0), 1)
		o.Again = min(max(answer+noise*s.rng.NormFloat64(), 0), 1)
		o.HasAgain = true
		s.chooser.Observe(o)
	}
}

// choose prints how often each plan was returned.
func (s *scenario) choose(d *datadriven.TestData) string {
	counts := map[string]int{}
	var ratings int
	for range s.number(d, "n", 1000) {
		req := request(s.snapshot, s.now, s.rng.Uint64())
		if d.HasArg("versions") {
			req.Versions = strings.Split(s.text(d, "versions", ""), "/")
		}
		req.Pinned = d.HasArg("pinned")
		req.Capacities = s.capacities(d, req.Versions)
		req.Slack = time.Duration(s.number(d, "slack", 120)) * time.Second
		p := s.chooser.Choose(req)
		counts[describe(p)]++
		if p.Rate {
			ratings++
		}
	}
	var lines []string
	for plan, n := range counts {
		lines = append(lines, fmt.Sprintf("%s: %d", plan, n))
	}
	slices.Sort(lines)
	if d.HasArg("ratings") {
		lines = append(lines, fmt.Sprintf("rated: %d", ratings))
	}
	return strings.Join(lines, "\n")
}

// capacities gives every version full capacity, except those in the argument room, as
// version/engines/percent or version/unsure.
func (s *scenario) capacities(d *datadriven.TestData, versions []string) []VersionCapacity {
	if !d.HasArg("room") {
		return nil
	}
	capacities := make([]VersionCapacity, len(versions))
	for i := range capacities {
		capacities[i] = VersionCapacity{Engines: 18, Share: 1}
	}
	for _, text := range s.list(d, "room") {
		f := strings.Split(text, "/")
		i := slices.Index(versions, f[0])
		if f[1] == "unsure" {
			capacities[i] = VersionCapacity{Unknown: true}
			continue
		}
		capacities[i].Engines, _ = strconv.Atoi(f[1])
		percent, _ := strconv.Atoi(f[2])
		capacities[i].Share = float64(percent) / 100
	}
	return capacities
}

func describe(p Plan) string {
	if p.Refusal != RefuseNone {
		return "refused " + string(p.Refusal)
	}
	words := []string{p.First}
	if len(p.Then) > 0 {
		words = append(words, "then", p.Then[0])
	}
	if p.Exposed {
		words = append(words, "exposed")
	}
	if p.BelowTarget {
		words = append(words, "below-target")
	}
	if p.AllHeld {
		words = append(words, "all-held")
	}
	return strings.Join(words, " ")
}

func (s *scenario) holds() string {
	var lines []string
	for _, h := range s.chooser.Holds() {
		lines = append(lines, fmt.Sprintf("%s term %d %s lifted=%v", h.Version, h.Term, h.Reason, h.Lifted))
	}
	for _, class := range s.chooser.Stranded() {
		lines = append(lines, "stranded "+class)
	}
	return strings.Join(lines, "\n")
}

func (s *scenario) number(d *datadriven.TestData, key string, fallback int) int {
	d.MaybeScanArgs(s.t, key, &fallback)
	return fallback
}

func (s *scenario) list(d *datadriven.TestData, key string) []string {
	for _, arg := range d.CmdArgs {
		if arg.Key == key {
			return arg.Vals
		}
	}
	return nil
}

func (s *scenario) text(d *datadriven.TestData, key, fallback string) string {
	d.MaybeScanArgs(s.t, key, &fallback)
	return fallback
}
