package gateway

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hickorybank/hickorybank/internal/crashguard"
	"github.com/hickorybank/hickorybank/internal/entryqueue"
	"github.com/hickorybank/hickorybank/internal/intake"
	"github.com/hickorybank/hickorybank/internal/route"
)

// job is the state of one caller's request while it is forwarded.
type job struct {
	node    *Node
	w       http.ResponseWriter
	r       *http.Request
	ctx     context.Context
	config  *configuration
	route   *route.Route
	service string
	orgName string
	// organisation is the request's organisation; nil if the request needs none.
	organisation *route.Organisation
	headers      CallerHeaders
	body         []byte
	// held is the memory that the request's body, answers and events take.
	held     *intake.Holding
	bodyRead bool
	start    time.Time
	deadline time.Time
	priority int
	// affinityHash is a hash of the session or, without one, of the request's ID. It selects the
	// service and whether the request gets a new version.
	affinityHash uint64
	// chain is what may crash upstreams: the parts of the prompt that other requests may
	// share, and the request itself.
	chain crashguard.Chain
	// crashes counts the upstreams that crashed while they were about to answer the request.
	crashes int
	// left are the attempts that the node no longer waits for, although their upstreams may run them.
	left []*attempt
	// blockedBy is the key for which the request is refused; 0 for none. quarantined is set if it is
	// not convicted.
	blockedBy   crashguard.Key
	quarantined bool
	// trial is the blocked key that the request may contain, to find out whether it still
	// crashes upstreams; 0 for none.
	trial crashguard.Key
	// trialCounted is set once the trial may have run.
	trialCounted bool

	// tried are the IDs of the upstreams that were sent the request. attemptsUsed counts
	// the attempts against the route's bound.
	tried        []string
	attemptsUsed int
	// avoided are the IDs of upstreams that are silent on other streams.
	avoided []string
	// attemptsReached counts the attempts that reached an upstream.
	attemptsReached int
	// mayHaveRun is set once the first byte has been sent, until the upstream states that
	// it did not run the request.
	mayHaveRun bool
	// answerStarted is set once the caller has been sent a part of the answer.
	answerStarted bool
	// firstPartAfter is how long after start the caller was sent the first part of the
	// answer.
	firstPartAfter time.Duration
	// longestPause is the longest pause between two parts of an attempt's answer.
	longestPause time.Duration
	// lastEvent is the ID of the last event that the caller has received.
	lastEvent string
	// model is the model of the next attempt; empty to keep the caller's.
	model string
	// failedAnswer is an upstream's error answer, to be passed on if no attempt succeeds.
	failedAnswer *bufferedAnswer
	// retryReserved is set if the next attempt has been taken from the retry budget
	// already.
	retryReserved bool
	// roomAt is when an upstream has capacity again; zero if unknown.
	roomAt time.Time
	// connectFailures counts the upstreams to which no connection could be opened.
	connectFailures int
	// linkLost is set if an attempt failed because this node's link to the upstream is lost.
	linkLost bool
	// ticket is the request's place in entryQueue; nil for none.
	ticket     *entryqueue.Ticket
	entryQueue *serviceQueue
	outcome    string
}

// bufferedAnswer is a complete answer of an upstream.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
}

// attemptsLeft returns how many more attempts the route allows.
func (j *job) attemptsLeft() int { return max(j.route.MaxAttempts, 1) - j.attemptsUsed }

// regions returns the regions that may run the request. If both its route and its
// organisation name regions, these are the common ones. nil allows all regions; an empty
// list allows none.
func (j *job) regions() []string {
	of := j.route.Regions
	if j.organisation == nil || len(j.organisation.Regions) == 0 {
		return nilIfEmpty(of)
	}
	if len(of) == 0 {
		return j.organisation.Regions
	}
	both := []string{}
	for _, r := range of {
		if slices.Contains(j.organisation.Regions, r) {
			both = append(both, r)
		}
	}
	return both
}

// nilIfEmpty returns nil for an empty list, which allows all regions.
func nilIfEmpty(regions []string) []string {
	if len(regions) == 0 {
		return nil
	}
	return regions
}

// rawTarget returns the raw path of a request, and its target in the form that is sent to
// upstreams.
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

// pickService chooses one of the route's services by weight. Requests of one session go to
// the same service.
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

// identify sets the job's affinity hash, service and chain. target is the request's target, query
// included, in the form that is sent to upstreams.
func (j *job) identify(method, target string) {
	key := j.headers.Session
	if key == "" {
		key = j.headers.ID
	}
	j.affinityHash = xxhash.Sum64String(key)
	j.service = pickService(j.route, j.affinityHash)
	shared := j.sharedBlocks()
	for _, b := range shared[:min(len(shared), maxChainParts)] {
		j.chain = append(j.chain, crashguard.PartKey(b.ID))
	}
	// The route's host and not the caller's: the same request may name it in another form.
	j.chain = append(j.chain, crashguard.RequestKey(j.orgName, method+" "+strings.ToLower(j.route.Host)+target, j.body))
}

// sharedBlocks returns the parts of the prompt that other requests may share, in order. The last
// part belongs to this request alone.
func (j *job) sharedBlocks() []PromptBlock {
	blocks := j.headers.PromptBlocks
	return blocks[:max(len(blocks)-1, 0)]
}

// maxChainParts bounds the parts of a prompt that are watched for crashes.
const maxChainParts = 64

// sharedParts returns the IDs of the shared parts of the prompt, in order.
func (j *job) sharedParts() string {
	ids := make([]string, 0, len(j.headers.PromptBlocks))
	for _, b := range j.sharedBlocks() {
		ids = append(ids, b.ID)
	}
	return strings.Join(ids, ",")
}
