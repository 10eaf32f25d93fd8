package config

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// validDocument returns a small valid document without warnings.
func validDocument() *Document {
	return &Document{
		Preset:  "ordinary",
		Presets: []Preset{{Name: "ordinary"}, {Name: "peak"}},
		Classes: []Class{
			{Name: "draft", Kind: Heavy, DeadlineMillis: 1000, Model: "dues"},
			{Name: "receipt", Kind: Immediate, DeadlineMillis: 100},
		},
		Models: []Model{{Name: "dues", Versions: []Version{
			{Name: "dues@1", State: Serving, PriorQuality: 0.9},
			{Name: "dues@2", State: Staged, PriorQuality: 0.9, Share: 0.1, ExposureCap: 5},
		}}},
		Services: []Service{{Name: "billing", Calls: []Call{{Method: "GET", Path: "/receipts/", Class: "receipt"}}}},
		Organisations: []Organisation{{
			Name: "tolu", KeyHashes: []string{HashKey("k")}, Weight: 1, Versions: []string{"dues@1", "dues@2"},
			Services: []string{"billing"}, Targets: []Target{{Class: "draft", Quality: 0.8}},
		}},
	}
}

func TestValidDocumentHasNoFaults(t *testing.T) {
	is := is.New(t)
	is.Equal(len(validDocument().Validate()), 0)
	is.Equal(len(validDocument().Warnings()), 0)
	_, err := Compile(1, validDocument())
	is.NoErr(err)
}

// Each case makes the valid document invalid in one place and names the field of the expected fault.
func TestValidateNamesTheField(t *testing.T) {
	version := func(d *Document) *Version { return &d.Models[0].Versions[0] }
	org := func(d *Document) *Organisation { return &d.Organisations[0] }
	cases := []struct {
		field  string
		mutate func(d *Document)
	}{
		{"preset", func(d *Document) { d.Preset = "nights" }},
		{"presets[1].name", func(d *Document) { d.Presets[1].Name = "ordinary" }},
		{"presets[1].name", func(d *Document) { d.Presets[1].Name = "" }},
		{"presets", func(d *Document) { d.Presets = append(d.Presets, numberedPresets(MaxPresets)...) }},
		{"classes[2].name", func(d *Document) { addClass(d, "a/b") }},
		{"classes[2].name", func(d *Document) { addClass(d, "a b") }},
		{"classes[2].name", func(d *Document) { addClass(d, "") }},
		{"classes[2].name", func(d *Document) { addClass(d, "draft") }},
		{"classes[2].name", func(d *Document) { addClass(d, strings.Repeat("x", MaxName+1)) }},
		{"classes[0].kind", func(d *Document) { d.Classes[0].Kind = "urgent" }},
		{"classes[0].deadline_ms", func(d *Document) { d.Classes[0].DeadlineMillis = 0 }},
		{"classes[0].deadline_ms", func(d *Document) { d.Classes[0].DeadlineMillis = MaxDeadlineMillis + 1 }},
		{"classes[0].model", func(d *Document) { d.Classes[0].Model = "gone" }},
		{"models[0].name", func(d *Document) { d.Models[0].Name = "draft"; d.Classes[0].Model = "" }},
		{"models[0].versions", func(d *Document) { d.Models = append(d.Models[:0], Model{Name: "dues"}); *org(d) = minimalOrg() }},
		{"models[0].versions", func(d *Document) { version(d).State = Staged; version(d).Share = 0.95 }},
		{"models[0].versions[2].name", func(d *Document) {
			d.Models[0].Versions = append(d.Models[0].Versions, Version{Name: "dues@1", State: Serving})
		}},
		{"models[0].versions[0].state", func(d *Document) { version(d).State = "" }},
		{"models[0].versions[0].share", func(d *Document) { version(d).Share = 0.2 }},
		{"models[0].versions[0].exposure_cap", func(d *Document) { version(d).ExposureCap = 3 }},
		{"models[0].versions[1].share", func(d *Document) { d.Models[0].Versions[1].Share = math.NaN() }},
		{"models[0].versions[1].share", func(d *Document) { d.Models[0].Versions[1].Share = -0.1 }},
		{"models[0].versions[1].exposure_cap", func(d *Document) { d.Models[0].Versions[1].ExposureCap = -1 }},
		{"models[0].versions[0].prior_quality", func(d *Document) { version(d).PriorQuality = math.Inf(1) }},
		{"models[0].versions[0].input_cost", func(d *Document) { version(d).InputCost = -1 }},
		{"models[0].versions[0].output_cost", func(d *Document) { version(d).OutputCost = MaxCost + 1 }},
		{"services[1].name", func(d *Document) { d.Services = append(d.Services, Service{Name: "billing"}) }},
		{"services[0].calls[0].method", func(d *Document) { d.Services[0].Calls[0].Method = "FETCH" }},
		{"services[0].calls[0].path", func(d *Document) { d.Services[0].Calls[0].Path = "receipts" }},
		{"services[0].calls[0].class", func(d *Document) { d.Services[0].Calls[0].Class = "gone" }},
		{"services[0].calls[0].cost", func(d *Document) { d.Services[0].Calls[0].Cost = -1 }},
		{"services[0].calls[1]", func(d *Document) { d.Services[0].Calls = append(d.Services[0].Calls, d.Services[0].Calls[0]) }},
		{"organisations[1].name", func(d *Document) {
			d.Organisations = append(d.Organisations, Organisation{Name: "tolu", Weight: 1})
		}},
		{"organisations[0].weight", func(d *Document) { org(d).Weight = 0 }},
		{"organisations[0].weight", func(d *Document) { org(d).Weight = math.NaN() }},
		{"organisations[0].weight", func(d *Document) { org(d).Weight = math.Inf(1) }},
		{"organisations[0].rate_per_second", func(d *Document) { org(d).RatePerSecond = -1 }},
		{"organisations[0].rate_per_second", func(d *Document) { org(d).RatePerSecond = math.NaN() }},
		{"organisations[0].key_hashes[0]", func(d *Document) { org(d).KeyHashes[0] = "secret" }},
		{"organisations[0].key_hashes[0]", func(d *Document) { org(d).KeyHashes[0] = HashKey("") }},
		{"organisations[0].versions[2]", func(d *Document) { org(d).Versions = append(org(d).Versions, "dues@9") }},
		{"organisations[0].versions[2]", func(d *Document) { org(d).Versions = append(org(d).Versions, "dues@1") }},
		{"organisations[0].services[0]", func(d *Document) { org(d).Services[0] = "gone" }},
		{"organisations[0].targets[0].class", func(d *Document) { org(d).Targets[0].Class = "gone" }},
		{"organisations[0].targets[1].class", func(d *Document) { org(d).Targets = append(org(d).Targets, org(d).Targets[0]) }},
		{"organisations[0].targets[0].quality", func(d *Document) { org(d).Targets[0].Quality = 1.5 }},
	}
	for i, c := range cases {
		t.Run(fmt.Sprintf("%d %s", i, c.field), func(t *testing.T) {
			is := is.New(t)
			doc := validDocument()
			c.mutate(doc)
			faults := doc.Validate()
			is.Equal(len(faults), 1) // no other field is reported
			is.Equal(faults[0].Field, c.field)
			_, err := Compile(1, doc)
			is.True(err != nil) // an invalid document has no snapshot
		})
	}
}

func addClass(d *Document, name string) {
	d.Classes = append(d.Classes, Class{Name: name, Kind: Heavy, DeadlineMillis: 1})
}

func minimalOrg() Organisation { return Organisation{Name: "tolu", Weight: 1} }

func numberedPresets(n int) []Preset {
	out := make([]Preset, 0, n)
	for i := range n {
		out = append(out, Preset{Name: fmt.Sprintf("p%d", i)})
	}
	return out
}

// Two organisations have one key, with its hash once in lower and once in upper case. Without a
// check that ignores case, the second would be billed for the first's requests and see its sessions.
func TestKeySharedByTwoOrganisationsIsRefused(t *testing.T) {
	is := is.New(t)
	doc := validDocument()
	twin := Organisation{Name: "turbo", Weight: 1, KeyHashes: []string{strings.ToUpper(HashKey("k"))}}
	doc.Organisations = append(doc.Organisations, twin)
	is.Equal(doc.Validate(), Faults{{Field: "organisations[1].key_hashes[0]", Reason: "stands twice"}})
}

// A document larger than one row of the platform's table cannot be stored, even if it keeps every
// other bound.
func TestDocumentLargerThanOneTableRowIsRefused(t *testing.T) {
	is := is.New(t)
	doc := validDocument()
	for i := range 3000 {
		o := Organisation{Name: fmt.Sprintf("o%d", i), Weight: 1, Versions: []string{"dues@1", "dues@2"}}
		for j := range 4 {
			o.KeyHashes = append(o.KeyHashes, HashKey(fmt.Sprint(i, j)))
		}
		doc.Organisations = append(doc.Organisations, o)
	}
	faults := doc.Validate()
	is.Equal(len(faults), 1)
	is.Equal(faults[0].Field, "document")
}

func TestWarningsNameLikelyMistakes(t *testing.T) {
	cases := []struct {
		field  string
		mutate func(d *Document)
	}{
		{"models[0].versions", func(d *Document) { d.Models[0].Versions[0].State = Withdrawn }},
		{"models[0].versions[1].share", func(d *Document) { d.Models[0].Versions[1].Share = 0 }},
		{"organisations[0].key_hashes", func(d *Document) { d.Organisations[0].KeyHashes = nil }},
		{"organisations[0].targets[0].quality", func(d *Document) { d.Organisations[0].Targets[0].Quality = 0.99 }},
	}
	for _, c := range cases {
		is := is.New(t)
		doc := validDocument()
		c.mutate(doc)
		is.Equal(len(doc.Validate()), 0) // accepted
		warnings := doc.Warnings()
		is.Equal(len(warnings), 1)
		is.Equal(warnings[0].Field, c.field)
	}
}

func TestDiffNamesEntriesByIdentity(t *testing.T) {
	is := is.New(t)
	before, after := validDocument(), validDocument()
	is.Equal(len(Diff(before, after)), 0)
	slices.Reverse(after.Classes) // the order of entries is ignored
	after.Preset = "peak"
	after.Models[0].Versions[0].State = Withdrawn
	after.Organisations[0].Targets[0].Quality = 0.7
	after.Organisations[0].Versions = []string{"dues@2"}
	after.Services[0].Calls[0].Idempotent = true
	var lines []string
	for _, d := range Diff(before, after) {
		lines = append(lines, d.String())
	}
	is.Equal(lines, []string{
		`~ models[dues].versions[dues@1].state "serving" -> "withdrawn"`,
		`~ organisations[tolu].targets[draft].quality 0.8 -> 0.7`,
		`- organisations[tolu].versions[dues@1] "dues@1"`,
		`~ preset "ordinary" -> "peak"`,
		`~ services[billing].calls[GET /receipts/].idempotent false -> true`,
	})
	is.True(len(Diff(nil, before)) > 0)
}

func TestCloneSharesNoState(t *testing.T) {
	is := is.New(t)
	doc := validDocument()
	c := doc.Clone()
	is.Equal(c, doc)
	c.Models[0].Versions[0].State = Withdrawn
	c.Services[0].Calls[0].Cost = 7
	c.Organisations[0].Targets[0].Quality = 0
	c.Organisations[0].KeyHashes[0] = ""
	c.Organisations[0].Versions[0] = ""
	c.Presets[0].Cascades = true
	c.Classes[0].Cascade = true
	is.Equal(doc, validDocument())
}
