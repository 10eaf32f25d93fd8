package load

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/platform"
	"github.com/hickorybank/hickorybank/internal/request"
	"github.com/hickorybank/hickorybank/internal/upstream"
)

// Direct is the lane that bypasses the router. It sends each job to a random upstream
// that can process it.
type Direct struct {
	run      string
	mix      *Mix
	engines  upstream.Engines
	services upstream.Services
	targets  []target
}

// target is an upstream and the versions that it has loaded.
type target struct {
	vm       platform.VM
	versions []string
}

// NewDirect returns a direct lane for the live upstreams in the platform's list. It
// fails if the list or an engine's versions cannot be read.
func NewDirect(ctx context.Context, run string, m *Mix, vms platform.VMs, engines upstream.Engines, services upstream.Services) (*Direct, error) {
	list, err := vms.List(ctx)
	if err != nil {
		return nil, eris.Wrap(err, "list of upstreams")
	}
	d := &Direct{run: run, mix: m, engines: engines, services: services}
	for _, vm := range list {
		if vm.State != platform.Live || vm.Role == platform.RoleEntry {
			continue
		}
		h := target{vm: vm}
		if vm.Role == platform.RoleEngine {
			state, err := engines.State(ctx, vm.Addr)
			if err != nil {
				return nil, eris.Wrap(err, "state of "+vm.ID)
			}
			h.versions = state.Versions
		}
		d.targets = append(d.targets, h)
	}
	return d, nil
}

// Name returns "direct".
func (d *Direct) Name() string { return "direct" }

// Start does nothing.
func (d *Direct) Start() error { return nil }

// Close does nothing, because the upstream clients own the connections.
func (d *Direct) Close() {}

// Do sends a job to an upstream and waits for the result.
func (d *Direct) Do(ctx context.Context, job Job, clock Clock) Result {
	ctx, cancel := context.WithTimeout(ctx, job.Work.deadline()+deadlineGrace)
	defer cancel()
	h, version, ok := d.choose(job)
	if !ok {
		return unanswered(Result{}, "no_upstream", clock)
	}
	if job.Work.chat() {
		return d.chat(ctx, job, h, version, clock)
	}
	return d.call(ctx, job, h, clock)
}

// choose selects an upstream and a version by the job's draw.
func (d *Direct) choose(job Job) (h target, version string, ok bool) {
	var candidates []target
	if job.Work.chat() {
		versions := job.Work.Versions
		if len(versions) == 0 {
			versions = []string{job.Work.Model}
		}
		version = versions[job.Draw%uint64(len(versions))]
		candidates = d.matching(func(h target) bool { return slices.Contains(h.versions, version) })
	} else {
		candidates = d.matching(func(h target) bool { return h.vm.Service == job.Work.Service })
	}
	if len(candidates) == 0 {
		return target{}, "", false
	}
	return candidates[(job.Draw>>32)%uint64(len(candidates))], version, true
}

// matching returns the targets that satisfy a condition.
func (d *Direct) matching(matches func(target) bool) []target {
	var matched []target
	for _, h := range d.targets {
		if matches(h) {
			matched = append(matched, h)
		}
	}
	return matched
}

func (d *Direct) chat(ctx context.Context, job Job, h target, version string, clock Clock) Result {
	res := Result{Check: Unchecked, Version: version}
	body, err := job.body(d.run, version)
	if err != nil {
		return unanswered(res, "request", clock)
	}
	stream, err := d.engines.Start(ctx, h.vm.Addr, upstream.Attempt{ID: uuid.NewString(), Version: version, PrefixHash: job.prefixHash(), Body: body})
	if err != nil {
		return unanswered(res, errorCode(err), clock)
	}
	defer stream.Close()
	var text strings.Builder
	previous := clock()
	for {
		chunk, err := stream.Next()
		if err != nil {
			return unanswered(res, "stream_broke", clock)
		}
		previous = res.addChunk(&text, chunk, previous, clock)
		if chunk.Done {
			res.Outcome = request.Completed
			res.InputTokens, res.OutputTokens = chunk.Usage.InputTokens, chunk.Usage.OutputTokens
			res.Check = checkText(job.prompt(d.run), text.String(), res.OutputTokens)
			res.Cost = d.mix.cost(version, res.InputTokens, res.OutputTokens)
			res.Ended = clock()
			return res
		}
	}
}

// addChunk appends the text of a chunk and returns the time of the last chunk with
// text.
func (res *Result) addChunk(text *strings.Builder, c upstream.Chunk, previous time.Duration, clock Clock) time.Duration {
	if c.Text == "" {
		return previous
	}
	text.WriteString(c.Text)
	return res.recordGap(previous, clock())
}

// recordGap records the arrival of text as first token or gap and returns its time.
func (res *Result) recordGap(previous, now time.Duration) time.Duration {
	if res.First == 0 {
		res.First = now
	} else {
		res.Gaps = append(res.Gaps, now-previous)
	}
	return now
}

func (d *Direct) call(ctx context.Context, job Job, h target, clock Clock) Result {
	res := Result{Check: Unchecked}
	answer, err := d.services.Do(ctx, h.vm.Addr, upstream.ServiceCall{
		Method: job.Work.Method, Path: job.path(), Key: uuid.NewString(), ContentType: "application/json",
	})
	if err != nil {
		return unanswered(res, errorCode(err), clock)
	}
	res.readCall(strings.NewReader(string(answer.Body)), job.path(), clock)
	res.Ended = clock()
	return res
}
