package scenario

import (
	"strconv"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/rotisserie/eris"
)

// mark is a snapshot of runs, declined requests and started requests.
type mark struct {
	runs []run
	// declined is the number of requests that each upstream has declined.
	declined map[string]int
	// calls is the number of requests that each load has started.
	calls map[string]int64
}

func cmdMark(ts *testscript.TestScript, c *cluster, neg bool, args []string) {
	requireArgs(ts, neg, args, 1, "mark NAME")
	m, err := c.snapshot()
	ts.Check(err)
	c.marks[args[0]] = m
}

func (c *cluster) snapshot() (mark, error) {
	m := mark{declined: map[string]int{}, calls: map[string]int64{}}
	for name, l := range c.loads {
		m.calls[name] = l.started.Load()
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
		return m, eris.Errorf("unknown mark %s", name)
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

// expectNewDeclined: MARK UPSTREAM N: the upstream has declined N requests since the mark.
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
		return eris.Errorf("%s has declined %d requests, want %s", p.id, n, args[2])
	}
	return nil
}

// awaitNewCalls: MARK LOAD N: the load has started N requests since the mark.
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
		return eris.Errorf("load %s is not running", args[1])
	}
	if n := l.started.Load() - m.calls[args[1]]; n < want {
		return eris.Errorf("%d requests started, want %d", n, want)
	}
	return nil
}
