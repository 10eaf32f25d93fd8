package sim

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/config"
)

// Class describes one kind of request.
type Class struct {
	Name     string
	Kind     config.Kind
	Deadline time.Duration
	// Share is the share of all requests, 0 to 1.
	Share float64
	// Version is the model version that a model request runs on, Service the service
	// that a call goes to. One of them is empty.
	Version string
	Service string
	// Prefill is the time in which an engine without other requests processes an
	// uncached prompt. Tokens is the typical answer length. Both vary by a random
	// factor between 1/Spread and Spread.
	Prefill time.Duration
	Tokens  int
	Spread  float64
	// Prefixes is the number of shared prefixes that each organisation uses at a time.
	// Popular means that a few of them occur in most requests.
	Prefixes int
	Popular  bool
	// ServiceTime is the mean time of a service call.
	ServiceTime time.Duration
}

// tarifasClasses assumes that a draft reads a dossier of about 10,000 tokens and writes
// 600, that each dossier is used by several requests, and that look-ups outnumber model
// requests 2 to 1.
func tarifasClasses() []Class {
	return []Class{
		{Name: "draft", Kind: config.Heavy, Deadline: 2 * time.Minute, Share: 0.14, Version: "dues@2", Prefill: 2 * time.Second, Tokens: 600, Spread: 2, Prefixes: 30},
		{Name: "explain", Kind: config.Deferrable, Deadline: time.Minute, Share: 0.12, Version: "lines@1", Prefill: 300 * time.Millisecond, Tokens: 120, Spread: 2, Prefixes: 12, Popular: true},
		{Name: "tag", Kind: config.Deferrable, Deadline: time.Minute, Share: 0.07, Version: "lines@1", Prefill: 200 * time.Millisecond, Tokens: 20, Spread: 1.5, Prefixes: 4, Popular: true},
		{Name: "clearance", Kind: config.Immediate, Deadline: 2 * time.Second, Share: 0.4, Service: "billing", ServiceTime: 6 * time.Millisecond},
		{Name: "receipt", Kind: config.Immediate, Deadline: 2 * time.Second, Share: 0.22, Service: "billing", ServiceTime: 4 * time.Millisecond},
		{Name: "settle", Kind: config.Heavy, Deadline: 10 * time.Second, Share: 0.05, Service: "billing", ServiceTime: 30 * time.Millisecond},
	}
}

// mixedClasses assumes that one check of five is done by a model.
func mixedClasses() []Class {
	list := sahelClasses()
	list[2].Share = 0.6
	return append(list, Class{
		Name: "model-check", Kind: config.Immediate, Deadline: 3 * time.Second, Share: 0.15, Version: "notes@1",
		Prefill: 100 * time.Millisecond, Tokens: 10, Spread: 1.5, Prefixes: 4, Popular: true,
	})
}

// sahelClasses assumes shorter drafts and summaries, and more checks, than tarifas.
func sahelClasses() []Class {
	return []Class{
		{Name: "assessment", Kind: config.Heavy, Deadline: 90 * time.Second, Share: 0.1, Version: "assess@5", Prefill: time.Second, Tokens: 400, Spread: 2, Prefixes: 30},
		{Name: "summary", Kind: config.Deferrable, Deadline: time.Minute, Share: 0.15, Version: "notes@1", Prefill: 400 * time.Millisecond, Tokens: 150, Spread: 2, Prefixes: 10, Popular: true},
		{Name: "check", Kind: config.Immediate, Deadline: time.Second, Share: 0.75, Service: "records", ServiceTime: 5 * time.Millisecond},
	}
}
