package sim

import (
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/choice"
	"github.com/hickorybank/hickorybank/internal/config"
	"github.com/hickorybank/hickorybank/internal/example"
)

// run is the state of one simulation run.
type run struct {
	scheduler
	cfg         Config
	snapshot    *config.Snapshot
	truth       *truth
	oracle      *oracle
	arrivals    *rand.Rand
	nodes       []*node
	table       *table
	orgClasses  map[*config.Organisation]map[string]*orgClassTally
	classes     map[string]*ClassResult
	orgs        []*config.Organisation
	totalWeight float64
	jobs        uint64
	result      Result
}

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Run simulates one configuration. It fails if the deployment is unknown or invalid.
func Run(cfg Config) (Result, error) {
	cfg = cfg.withDefaults()
	doc, err := example.Load(cfg.Deployment)
	if err != nil {
		return Result{}, err
	}
	applyOverrides(doc, cfg)
	snapshot, err := config.Compile(1, doc)
	if err != nil {
		return Result{}, eris.Wrapf(err, "compile deployment %q", cfg.Deployment)
	}
	r := newRun(cfg, snapshot)
	r.start()
	r.scheduler.run()
	return r.finish(), nil
}

// applyOverrides applies the configuration's preset and version states to the document.
func applyOverrides(doc *config.Document, cfg Config) {
	if cfg.Preset != "" {
		doc.Preset = cfg.Preset
	}
	for i := range doc.Models {
		for j := range doc.Models[i].Versions {
			if v := &doc.Models[i].Versions[j]; cfg.ServeStaged && v.State == config.Staged {
				v.State = config.Serving
			}
		}
	}
}

func newRun(cfg Config, s *config.Snapshot) *run {
	r := &run{
		cfg:        cfg,
		snapshot:   s,
		truth:      newTruth(cfg.World, s.Doc, cfg.Seed),
		arrivals:   rand.New(rand.NewPCG(cfg.Seed, 3)),
		table:      newTable(),
		orgClasses: map[*config.Organisation]map[string]*orgClassTally{},
		classes:    map[string]*ClassResult{},
	}
	r.result = Result{Config: cfg, ExposedAnswers: map[string]int{}, CapLifted: map[string]time.Duration{}}
	r.oracle = newOracle(r.truth, s)
	for i := range s.Doc.Organisations {
		o := &s.Doc.Organisations[i]
		r.orgs = append(r.orgs, o)
		r.totalWeight += o.Weight
	}
	for i := range cfg.Nodes {
		r.nodes = append(r.nodes, newNode(r, i))
	}
	return r
}

func (r *run) time() time.Time { return startTime.Add(r.now) }

func (r *run) start() {
	for i := range r.snapshot.Doc.Classes {
		class := &r.snapshot.Doc.Classes[i]
		if l, ok := loads[class.Name]; ok {
			r.scheduleArrivals(class, l.requestsPerSecond*r.cfg.Load)
		}
	}
	for _, c := range r.cfg.Changes {
		r.after(c.At, func() { r.applyChange(c) })
	}
	for _, n := range r.nodes {
		if n.chooser != nil {
			r.after(time.Duration(n.index)*exchangeInterval/time.Duration(len(r.nodes)), n.exchangeSummaries)
		}
	}
}

func (r *run) applyChange(c Change) {
	r.truth.factor[c.Version] = c.Factor
	r.oracle.invalidate()
	r.result.Degradations = append(r.result.Degradations, Degradation{Change: c, HeldAt: -1})
}

// scheduleArrivals schedules the requests of a class as a Poisson process.
func (r *run) scheduleArrivals(class *config.Class, perSecond float64) {
	gap := time.Duration(r.arrivals.ExpFloat64() / perSecond * float64(time.Second))
	if r.now+gap > r.cfg.Duration {
		return
	}
	r.after(gap, func() {
		r.startRequest(class)
		r.scheduleArrivals(class, perSecond)
	})
}

func (r *run) startRequest(class *config.Class) {
	r.jobs++
	j := &job{run: r, id: r.jobs, class: class, org: r.drawOrg(), rng: rand.New(rand.NewPCG(r.cfg.Seed^r.jobs, 4))}
	j.node = r.nodes[r.arrivals.IntN(len(r.nodes))]
	j.start(nil)
}

func (r *run) drawOrg() *config.Organisation {
	x := r.arrivals.Float64() * r.totalWeight
	for _, o := range r.orgs {
		if x -= o.Weight; x < 0 {
			return o
		}
	}
	return r.orgs[len(r.orgs)-1]
}

func (r *run) orgClass(o *config.Organisation, class *config.Class) *orgClassTally {
	byClass, ok := r.orgClasses[o]
	if !ok {
		byClass = map[string]*orgClassTally{}
		r.orgClasses[o] = byClass
	}
	p, ok := byClass[class.Name]
	if !ok {
		p = &orgClassTally{OrgClassResult: OrgClassResult{Org: o.Name, Class: class.Name, Target: o.Target(class.Name), Reachable: true}}
		byClass[class.Name] = p
	}
	return p
}

func (r *run) finish() Result {
	for _, o := range r.orgs {
		for i := range r.snapshot.Doc.Classes {
			if p, ok := r.orgClasses[o][r.snapshot.Doc.Classes[i].Name]; ok {
				r.addOrgClass(p.result())
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

func (r *run) addOrgClass(p OrgClassResult) {
	r.result.OrgClasses = append(r.result.OrgClasses, p)
	r.result.Answers += p.Answers
	r.result.Cost += p.Cost
	r.result.OracleCost += p.OracleCost
	r.result.BestCost += p.BestCost
}

// recordHolds adds new holds to the result and counts the false alarms among them.
func (r *run) recordHolds(holds []choice.Hold) {
	for _, h := range holds {
		r.result.Holds = append(r.result.Holds, h)
		if !r.recordDegradedHold(h.Version) {
			r.result.FalseAlarms++
		}
	}
}

// recordDegradedHold reports whether a version has degraded, and records the time of its
// first hold.
func (r *run) recordDegradedHold(version string) bool {
	for i := range r.result.Degradations {
		t := &r.result.Degradations[i]
		if t.Change.Version == version && t.Change.Factor < 1 {
			if t.HeldAt < 0 {
				t.HeldAt = r.now
			}
			return true
		}
	}
	return false
}
