package gateway

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hickorybank/hickorybank/internal/crashguard"
	"github.com/hickorybank/hickorybank/internal/route"
)

// job is one caller's request on its way.
type job struct {
	node    *Node
	w       http.ResponseWriter
	r       *http.Request
	ctx     context.Context
	table   *configuration
	route   *route.Route
	service string
	org     string
	// holder is the organisation; nil where the request needs none.
	holder   *route.Organisation
	ask      Ask
	body     []byte
	bodyRead bool
	start    time.Time
	deadline time.Time
	priority int
	// hash places the request's session, or the request itself.
	hash uint64
	// print is the fingerprint of the work.
	print uint64

	// tried are the upstreams that were sent the request, sent how many
	// attempts count against the route's bound.
	tried []string
	sent  int
	// arrived counts attempts that reached some upstream.
	arrived int
	// mayHaveRun is set from the first byte that was sent until the upstream
	// says that it did not run the request.
	mayHaveRun bool
	// begun is set when the caller has been sent a part of the answer.
	begun bool
	// firstAfter is when the caller was sent the first part of the answer.
	firstAfter time.Duration
	// longestPause is the longest time between two parts of an attempt's answer.
	longestPause time.Duration
	// lastEvent is the last event that the caller has received.
	lastEvent string
	// model is the model of the next attempt; empty to leave the caller's.
	model string
	// failed is an upstream's failure to pass on when nothing better comes.
	failed *held
	// paid is set when the next attempt has been taken from the retry budget.
	paid bool
	// room is when an upstream takes work again, where all are known to take none until
	// then.
	room time.Time
	// unreached is how many upstreams could not be connected to.
	unreached int
	outcome   string
}

// held is a whole answer.
type held struct {
	status int
	header http.Header
	body   []byte
}

// left is how many more attempts the route allows.
func (j *job) left() int { return max(j.route.MaxAttempts, 1) - j.sent }

// regions are those that may run the request, by its route and its organisation: where
// both name some, by both. nil allows all.
func (j *job) regions() []string {
	of := j.route.Regions
	if j.holder == nil || len(j.holder.Regions) == 0 {
		return allOrNone(of)
	}
	if len(of) == 0 {
		return j.holder.Regions
	}
	both := []string{}
	for _, r := range of {
		if slices.Contains(j.holder.Regions, r) {
			both = append(both, r)
		}
	}
	return both
}

// allOrNone returns nil for an empty list, which allows all regions.
func allOrNone(regions []string) []string {
	if len(regions) == 0 {
		return nil
	}
	return regions
}

// path returns the raw path of a request target, and the target in the form
// that is sent to upstreams.
func rawTarget(r *http.Request) (path, target string) {
	target = r.RequestURI
	if !strings.HasPrefix(target, "/") {
		if i := strings.Index(target, "://"); i >= 0 {
			rest := target[i+len("://"):]
			if k := strings.IndexByte(rest, '/'); k >= 0 {
				target = rest[k:]
			} else {
				target = "/"
			}
		}
	}
	path, _, _ = strings.Cut(target, "?")
	return path, target
}

// pickService chooses one of the route's services by its weights; requests of
// one session go to the same one.
func pickService(r *route.Route, hash uint64) string {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	if total <= 0 {
		return r.Shares[0].Service
	}
	point := int((hash >> 17) % uint64(total))
	for _, s := range r.Shares {
		if point < s.Weight {
			return s.Service
		}
		point -= s.Weight
	}
	return r.Shares[0].Service
}

func (j *job) identify(path string) {
	key := j.ask.Session
	if key == "" {
		key = j.ask.ID
	}
	j.hash = xxhash.Sum64String(key)
	j.service = pickService(j.route, j.hash)
	j.print = crashguard.Fingerprint(j.org, path, j.body)
}
