package choice

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/config"
)

var start = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

// document returns a configuration with one model of n versions, each more expensive and
// better than the one before, and a class that may use them in cascades.
func document(n int) *config.Document {
	doc := &config.Document{
		Preset:  "ordinary",
		Presets: []config.Preset{{Name: "ordinary", Cascades: true, AdvanceRollouts: true}, {Name: "maintenance"}},
		Classes: []config.Class{{Name: "draft", Kind: config.Heavy, DeadlineMillis: 120_000, Model: "m", Cascade: true}},
		Models:  []config.Model{{Name: "m"}},
		Organisations: []config.Organisation{{
			Name: "port", Weight: 1, Targets: []config.Target{{Class: "draft", Quality: 0.85}},
		}},
	}
	for i := range n {
		name := fmt.Sprintf("m@%d", i+1)
		v := config.Version{Name: name, State: config.Serving, InputCost: int64(100 * (i + 1)), OutputCost: int64(400 * (i + 1))}
		v.PriorQuality = 0.7 + 0.25*float64(i)/float64(max(n-1, 1))
		doc.Models[0].Versions = append(doc.Models[0].Versions, v)
		doc.Organisations[0].Versions = append(doc.Organisations[0].Versions, name)
	}
	return doc
}

func compile(t testing.TB, doc *config.Document) *config.Snapshot {
	t.Helper()
	s, err := config.Compile(1, doc)
	is.New(t).NoErr(err)
	return s
}

// request is a request of the first organisation that may use any of its versions.
func request(s *config.Snapshot, now time.Time, random uint64) Request {
	org := &s.Doc.Organisations[0]
	return Request{
		Snapshot: s, Org: org, Class: s.Class("draft"), Versions: org.Versions,
		Now: now, Slack: 2 * time.Minute, Random: random,
	}
}
