package sim

import (
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/choice"
	"github.com/hickorybank/hickorybank/internal/config"
	"github.com/hickorybank/hickorybank/internal/example"
)

// run is one run under way.
type run struct {
	agenda
	cfg      Config
	snapshot *config.Snapshot
	truth    *truth
	oracle   *oracle
	arrivals *rand.Rand
	nodes    []*node
	table    *table
	parts    map[*config.Organisation]map[string]*part
	classes  map[string]*ClassResult
	orgs     []*config.Organisation
	weights  float64
	jobs     uint64
	result   Result
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Run measures one configuration.
func Run(cfg Config) (Result, error) {
	cfg = cfg.withDefaults()
	doc, err := example.Load(cfg.Deployment)
	if err != nil {
		return Result{}, err
	}
	prepare(doc, cfg)
	snapshot, err := config.Compile(1, doc)
	if err != nil {
		return Result{}, eris.Wrap(err, "deployment")
	}
	r := newRun(cfg, snapshot)
	r.start()
	r.agenda.run()
	return r.finish(), nil
}

func prepare(doc *config.Document, cfg Config) {
	if cfg.Preset != "" {
		doc.Preset = cfg.Preset
	}
	for i := range doc.Models {
		for j := range doc.Models[i].Versions {
			if v := &doc.Models[i].Versions[j]; cfg.Serving && v.State == config.Staged {
				v.State = config.Serving
			}
		}
	}
}

func newRun(cfg Config, s *config.Snapshot) *run {
	r := &run{
		cfg:      cfg,
		snapshot: s,
		truth:    newTruth(cfg.World, s.Doc, cfg.Seed),
		arrivals: rand.New(rand.NewPCG(cfg.Seed, 3)),
		table:    newTable(),
		parts:    map[*config.Organisation]map[string]*part{},
		classes:  map[string]*ClassResult{},
	}
	r.result = Result{Config: cfg, Exposed: map[string]int{}, Opened: map[string]time.Duration{}}
	r.oracle = newOracle(r.truth, s)
	for i := range s.Doc.Organisations {
		o := &s.Doc.Organisations[i]
		r.orgs = append(r.orgs, o)
		r.weights += o.Weight
	}
	for i := range cfg.Nodes {
		r.nodes = append(r.nodes, newNode(r, i))
	}
	return r
}

func (r *run) time() time.Time { return epoch.Add(r.now) }

func (r *run) start() {
	for i := range r.snapshot.Doc.Classes {
		class := &r.snapshot.Doc.Classes[i]
		if l, ok := loads[class.Name]; ok {
			r.arrive(class, l.perSecond*r.cfg.Load)
		}
	}
	for _, c := range r.cfg.Changes {
		r.after(c.At, func() { r.change(c) })
	}
	for _, n := range r.nodes {
		if n.chooser != nil {
			r.after(time.Duration(n.index)*exchangeGap/time.Duration(len(r.nodes)), n.exchange)
		}
	}
}

func (r *run) change(c Change) {
	r.truth.factor[c.Version] = c.Factor
	r.oracle.changed()
	r.result.Turns = append(r.result.Turns, Turn{Change: c, Held: -1})
}

// arrive lets the requests of a class come in a Poisson stream.
func (r *run) arrive(class *config.Class, perSecond float64) {
	gap := time.Duration(r.arrivals.ExpFloat64() / perSecond * float64(time.Second))
	if r.now+gap > r.cfg.Duration {
		return
	}
	r.after(gap, func() {
		r.request(class)
		r.arrive(class, perSecond)
	})
}

func (r *run) request(class *config.Class) {
	r.jobs++
	j := &job{run: r, id: r.jobs, class: class, org: r.drawOrg(), rng: rand.New(rand.NewPCG(r.cfg.Seed^r.jobs, 4))}
	j.node = r.nodes[r.arrivals.IntN(len(r.nodes))]
	j.begin(nil)
}

func (r *run) drawOrg() *config.Organisation {
	x := r.arrivals.Float64() * r.weights
	for _, o := range r.orgs {
		if x -= o.Weight; x < 0 {
			return o
		}
	}
	return r.orgs[len(r.orgs)-1]
}

func (r *run) part(o *config.Organisation, class *config.Class) *part {
	byClass, ok := r.parts[o]
	if !ok {
		byClass = map[string]*part{}
		r.parts[o] = byClass
	}
	p, ok := byClass[class.Name]
	if !ok {
		p = &part{Part: Part{Org: o.Name, Class: class.Name, Target: o.Target(class.Name), Reachable: true}}
		byClass[class.Name] = p
	}
	return p
}

func (r *run) finish() Result {
	for _, o := range r.orgs {
		for i := range r.snapshot.Doc.Classes {
			if p, ok := r.parts[o][r.snapshot.Doc.Classes[i].Name]; ok {
				r.add(p.result())
			}
		}
	}
	for i := range r.snapshot.Doc.Classes {
		if c, ok := r.classes[r.snapshot.Doc.Classes[i].Name]; ok {
			r.result.Classes = append(r.result.Classes, *c)
		}
	}
	r.result.Simulated = r.now
	return r.result
}

func (r *run) add(p Part) {
	r.result.Parts = append(r.result.Parts, p)
	r.result.Answers += p.Answers
	r.result.Cost += p.Cost
	r.result.Oracle += p.Oracle
	r.result.Best += p.Best
}

// held takes in that a node raised holds.
func (r *run) held(holds []choice.Hold) {
	for _, h := range holds {
		r.result.Holds = append(r.result.Holds, h)
		if !r.turned(h.Version) {
			r.result.FalseAlarms++
		}
	}
}

func (r *run) turned(version string) bool {
	for i := range r.result.Turns {
		t := &r.result.Turns[i]
		if t.Change.Version == version && t.Change.Factor < 1 {
			if t.Held < 0 {
				t.Held = r.now
			}
			return true
		}
	}
	return false
}
