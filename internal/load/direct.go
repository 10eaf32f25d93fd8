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

// Direct is the lane to the upstreams alone: a job goes to one of those that
// can do it, by chance.
type Direct struct {
	run      string
	mix      *Mix
	engines  upstream.Engines
	services upstream.Services
	hosts    []host
}

// host is an upstream and what it can do.
type host struct {
	vm       platform.VM
	versions []string
}

// NewDirect asks the platform for the upstreams and each engine for its
// versions.
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
		h := host{vm: vm}
		if vm.Role == platform.RoleEngine {
			state, err := engines.State(ctx, vm.Addr)
			if err != nil {
				return nil, eris.Wrap(err, "state of "+vm.ID)
			}
			h.versions = state.Versions
		}
		d.hosts = append(d.hosts, h)
	}
	return d, nil
}

// Name is "direct".
func (d *Direct) Name() string { return "direct" }

// Start has nothing to prepare.
func (d *Direct) Start() error { return nil }

// Close has nothing to release: the connections are the clients'.
func (d *Direct) Close() {}

// Do sends a job to an upstream.
func (d *Direct) Do(ctx context.Context, job Job, clock Clock) Result {
	ctx, cancel := context.WithTimeout(ctx, job.Work.deadline()+slack)
	defer cancel()
	h, version, ok := d.choose(job)
	if !ok {
		return broken(Result{}, "no_upstream", clock)
	}
	if job.Work.chat() {
		return d.chat(ctx, job, h, version, clock)
	}
	return d.call(ctx, job, h, clock)
}

// choose takes an upstream and a version by the job's draw.
func (d *Direct) choose(job Job) (h host, version string, ok bool) {
	var fit []host
	if job.Work.chat() {
		versions := job.Work.Versions
		if len(versions) == 0 {
			versions = []string{job.Work.Model}
		}
		version = versions[job.Draw%uint64(len(versions))]
		fit = d.fitting(func(h host) bool { return slices.Contains(h.versions, version) })
	} else {
		fit = d.fitting(func(h host) bool { return h.vm.Service == job.Work.Service })
	}
	if len(fit) == 0 {
		return host{}, "", false
	}
	return fit[(job.Draw>>32)%uint64(len(fit))], version, true
}

func (d *Direct) fitting(fits func(host) bool) []host {
	var fit []host
	for _, h := range d.hosts {
		if fits(h) {
			fit = append(fit, h)
		}
	}
	return fit
}

func (d *Direct) chat(ctx context.Context, job Job, h host, version string, clock Clock) Result {
	res := Result{Check: Unchecked, Version: version}
	body, err := job.body(d.run, version)
	if err != nil {
		return broken(res, "request", clock)
	}
	stream, err := d.engines.Start(ctx, h.vm.Addr, upstream.Attempt{ID: uuid.NewString(), Version: version, PrefixHash: job.prefixHash(), Body: body})
	if err != nil {
		return broken(res, kindOf(err), clock)
	}
	defer stream.Close()
	var text strings.Builder
	before := clock()
	for {
		chunk, err := stream.Next()
		if err != nil {
			return broken(res, "stream_broke", clock)
		}
		before = res.chunk(&text, chunk, before, clock)
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

// chunk notes one piece and returns its time, if it had text.
func (res *Result) chunk(text *strings.Builder, c upstream.Chunk, before time.Duration, clock Clock) time.Duration {
	if c.Text == "" {
		return before
	}
	text.WriteString(c.Text)
	return res.gap(before, clock())
}

// gap notes the time of a piece with text.
func (res *Result) gap(before, now time.Duration) time.Duration {
	if res.First == 0 {
		res.First = now
	} else {
		res.Gaps = append(res.Gaps, now-before)
	}
	return now
}

func (d *Direct) call(ctx context.Context, job Job, h host, clock Clock) Result {
	res := Result{Check: Unchecked}
	answer, err := d.services.Do(ctx, h.vm.Addr, upstream.ServiceCall{
		Method: job.Work.Method, Path: job.path(), Key: uuid.NewString(), ContentType: "application/json",
	})
	if err != nil {
		return broken(res, kindOf(err), clock)
	}
	res.readCall(strings.NewReader(string(answer.Body)), job.path(), clock)
	res.Ended = clock()
	return res
}
