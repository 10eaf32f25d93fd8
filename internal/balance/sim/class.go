package sim

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/config"
)

// Class is a kind of request.
type Class struct {
	Name     string
	Kind     config.Kind
	Deadline time.Duration
	// Share is its part of all requests.
	Share float64
	// Version is what model work runs on; Service what a call goes to.
	Version string
	Service string
	// Prefill is how long a lone engine reads the prompt, uncached; Tokens the
	// mean length of the answer. Both vary by a factor of up to Spread around.
	Prefill time.Duration
	Tokens  int
	Spread  float64
	// Prefixes is how many shared prefixes each organisation has in use at a
	// time; Popular says that few of them make up most requests.
	Prefixes int
	Popular  bool
	// Work is the mean time of a service's call.
	Work time.Duration
}

// tarifasClasses assumes that a draft reads a dossier of some 10,000 tokens
// and writes 600, that each dossier is asked about several times, and that
// look-ups outnumber model work by 2 to 1.
func tarifasClasses() []Class {
	return []Class{
		{Name: "draft", Kind: config.Heavy, Deadline: 2 * time.Minute, Share: 0.14, Version: "dues@2", Prefill: 2 * time.Second, Tokens: 600, Spread: 2, Prefixes: 30},
		{Name: "explain", Kind: config.Deferrable, Deadline: time.Minute, Share: 0.12, Version: "lines@1", Prefill: 300 * time.Millisecond, Tokens: 120, Spread: 2, Prefixes: 12, Popular: true},
		{Name: "tag", Kind: config.Deferrable, Deadline: time.Minute, Share: 0.07, Version: "lines@1", Prefill: 200 * time.Millisecond, Tokens: 20, Spread: 1.5, Prefixes: 4, Popular: true},
		{Name: "clearance", Kind: config.Immediate, Deadline: 2 * time.Second, Share: 0.4, Service: "billing", Work: 6 * time.Millisecond},
		{Name: "receipt", Kind: config.Immediate, Deadline: 2 * time.Second, Share: 0.22, Service: "billing", Work: 4 * time.Millisecond},
		{Name: "settle", Kind: config.Heavy, Deadline: 10 * time.Second, Share: 0.05, Service: "billing", Work: 30 * time.Millisecond},
	}
}

// mixedClasses assumes that one check of five is read by a model.
func mixedClasses() []Class {
	list := sahelClasses()
	list[2].Share = 0.6
	return append(list, Class{
		Name: "model-check", Kind: config.Immediate, Deadline: 3 * time.Second, Share: 0.15, Version: "notes@1",
		Prefill: 100 * time.Millisecond, Tokens: 10, Spread: 1.5, Prefixes: 4, Popular: true,
	})
}

// sahelClasses assumes shorter drafts and summaries, and more checks.
func sahelClasses() []Class {
	return []Class{
		{Name: "assessment", Kind: config.Heavy, Deadline: 90 * time.Second, Share: 0.1, Version: "assess@5", Prefill: time.Second, Tokens: 400, Spread: 2, Prefixes: 30},
		{Name: "summary", Kind: config.Deferrable, Deadline: time.Minute, Share: 0.15, Version: "notes@1", Prefill: 400 * time.Millisecond, Tokens: 150, Spread: 2, Prefixes: 10, Popular: true},
		{Name: "check", Kind: config.Immediate, Deadline: time.Second, Share: 0.75, Service: "records", Work: 5 * time.Millisecond},
	}
}
