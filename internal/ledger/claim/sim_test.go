package claim

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hickorybank/hickorybank/internal/ledger/key"
	"github.com/hickorybank/hickorybank/internal/platform"
	"github.com/hickorybank/hickorybank/internal/request"
)

var (
	seeds     = flag.Int("seeds", 10_000, "how many random schedules to run")
	firstSeed = flag.Uint64("first-seed", 1, "the first of them")
)

// sim is a random schedule of several processes that hold one log, each with
// its own idea of who batches it, over a table that loses answers, refuses,
// and lets writes take effect late. Everything is drawn from the seed.
type sim struct {
	rng      *rand.Rand
	store    *store
	name     key.Log
	now      time.Time
	nodes    []*simNode
	boots    int
	attempts []*simAttempt
	waits    map[uint64]*simWait
	number   uint64
	late     []platform.Txn
	deleted  bool

	ran     map[key.ID]*simAttempt
	settled map[key.ID]string // the answer first heard
	open    map[simWay]int    // operations given that were not refused
	wrong   error
}

type simNode struct {
	log    *Log
	boot   string
	paused bool
	read   *Read
	create *Create
}

// simAttempt is one arrival of a caller's request at a node.
type simAttempt struct {
	id      key.ID
	attempt key.ID
	print   request.Fingerprint
	owner   *simNode
	boot    string // of the owner, which may have crashed since
	phase   string // asking, running, ended, given-up
	acked   bool   // its settlement was answered
	another bool   // its body is another one
}

type simWait struct {
	attempt *simAttempt
	kind    Kind
	way     simWay
}

// simWay is an entry and the process that it was given to.
type simWay struct {
	writer  string
	attempt key.ID
	kind    Kind
}

const (
	simNodes = 3
	simKeys  = 3
	simSteps = 160
)

func newSim(seed uint64, v variant) *sim {
	s := &sim{
		rng: rand.New(rand.NewPCG(seed, 0)), store: newStore(),
		name: key.Log{Kind: key.Timed, Shard: 1, Bucket: 7}, now: time.Unix(1000, 0),
		waits: map[uint64]*simWait{}, ran: map[key.ID]*simAttempt{}, settled: map[key.ID]string{}, open: map[simWay]int{},
	}
	s.store.variant = v
	for range simNodes {
		n := &simNode{}
		s.boot(n)
		s.nodes = append(s.nodes, n)
	}
	return s
}

// boot starts a node's process, or starts it anew after a crash.
func (s *sim) boot(n *simNode) {
	s.boots++
	n.boot = fmt.Sprintf("n%d", s.boots)
	n.log = NewLog(s.name, settings(n.boot), s.oldFloor())
	n.read, n.create, n.paused = nil, nil, false
}

// oldFloor is what a process may know of the floor from before.
func (s *sim) oldFloor() *Floor {
	if s.rng.IntN(2) == 0 {
		return nil
	}
	f := s.store.floor(s.name)
	return &f
}

func (s *sim) run() error {
	for step := 0; step < simSteps && s.wrong == nil; step++ {
		s.step()
	}
	if s.wrong == nil {
		s.heal()
	}
	return s.wrong
}

func (s *sim) fail(format string, args ...any) {
	if s.wrong == nil {
		s.wrong = fmt.Errorf(format, args...)
	}
}

// TestRandomSchedules is the randomised proof. A failing seed is run again by
// -run TestRandomSchedules -first-seed N -seeds 1.
func TestRandomSchedules(t *testing.T) {
	var runs, settles int
	for seed := *firstSeed; seed < *firstSeed+uint64(*seeds); seed++ {
		s := newSim(seed, variant{})
		if err := s.run(); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		runs += len(s.ran)
		settles += len(s.settled)
	}
	t.Logf("%d seeds, %d runs, %d settled answers heard", *seeds, runs, settles)
	if runs < *seeds || settles < *seeds/4 {
		t.Fatal("the schedules reach too little")
	}
}

// Without one of its guards the protocol must be caught breaking, or the
// schedules prove nothing.
func TestBrokenVariantsAreCaught(t *testing.T) {
	const enough = 5000
	for name, v := range map[string]variant{
		"rows without the condition of absence": {noAbsence: true},
		"rows without the condition on floors":  {noFloor: true},
		"a lost answer taken for a refusal":     {lostIsRefused: true},
		"a conflict taken for one's own row":    {conflictIsOwn: true},
		"a read that misses the newest row":     {shortRead: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := uint64(1); seed <= enough; seed++ {
				if err := newSim(seed, v).run(); err != nil {
					t.Logf("caught at seed %d: %v", seed, err)
					return
				}
			}
			t.Fatalf("not caught in %d seeds", enough)
		})
	}
}
