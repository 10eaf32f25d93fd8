package scenario

import (
	"strconv"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/rotisserie/eris"
)

// mark is how far everything had come at one moment of a scenario.
type mark struct {
	runs []run
	// declined is how many requests each upstream had turned away.
	declined map[string]int
	// calls is how many requests each load had begun.
	calls map[string]int64
}

func cmdMark(ts *testscript.TestScript, c *cluster, neg bool, args []string) {
	needs(ts, neg, args, 1, "mark NAME")
	m, err := c.now()
	ts.Check(err)
	c.marks[args[0]] = m
}

func (c *cluster) now() (mark, error) {
	m := mark{declined: map[string]int{}, calls: map[string]int64{}}
	for name, l := range c.loads {
		m.calls[name] = l.begun.Load()
	}
	for _, p := range c.upstreams() {
		counts, err := fetchCounts(p)
		if err != nil {
			return m, err
		}
		m.declined[p.id] = counts.Declined
	}
	var err error
	m.runs, err = c.runs()
	return m, err
}

func (c *cluster) marked(name string) (mark, error) {
	m, ok := c.marks[name]
	if !ok {
		return m, eris.Errorf("there is no mark %s", name)
	}
	return m, nil
}

// expectNewRuns: MARK WHAT N: there were N runs of WHAT since the mark.
func expectNewRuns(c *cluster, args []string) error {
	if len(args) != 3 {
		return errUsage
	}
	m, err := c.marked(args[0])
	if err != nil {
		return err
	}
	return c.compareRuns(args[1], args[2], countRuns(m.runs, args[1]))
}

// expectNewDeclined: MARK UPSTREAM N: the upstream has turned N requests away
// since the mark.
func expectNewDeclined(c *cluster, args []string) error {
	if len(args) != 3 {
		return errUsage
	}
	m, err := c.marked(args[0])
	if err != nil {
		return err
	}
	p, err := c.process(args[1])
	if err != nil {
		return err
	}
	counts, err := fetchCounts(p)
	if err != nil {
		return err
	}
	if n := counts.Declined - m.declined[p.id]; strconv.Itoa(n) != args[2] {
		return eris.Errorf("%s has turned away %d requests, not %s", p.id, n, args[2])
	}
	return nil
}

// awaitNewCalls: MARK LOAD N: the load has begun N requests since the mark.
func awaitNewCalls(c *cluster, args []string) error {
	if len(args) != 3 {
		return errUsage
	}
	m, err := c.marked(args[0])
	if err != nil {
		return err
	}
	want, err := strconv.ParseInt(args[2], 10, 64)
	if err != nil {
		return err
	}
	l := c.loads[args[1]]
	if l == nil {
		return eris.Errorf("there is no load %s", args[1])
	}
	if n := l.begun.Load() - m.calls[args[1]]; n < want {
		return eris.Errorf("%d requests of %d", n, want)
	}
	return nil
}
