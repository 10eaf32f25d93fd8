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

// sim is a random schedule of several processes that write one log. They disagree about
// which of them batches it. The table loses answers, refuses calls and applies writes
// late. All choices derive from the seed.
type sim struct {
	rng        *rand.Rand
	store      *store
	name       key.Log
	now        time.Time
	nodes      []*simNode
	boots      int
	attempts   []*simAttempt
	waits      map[uint64]*simWait
	number     uint64
	lateWrites []platform.Txn
	deleted    bool

	ran          map[key.ID]*simAttempt
	firstAnswers map[key.ID]string   // the first answer that was returned
	unrefused    map[simDelivery]int // operations added, less those refused
	violation    error               // the first violation found
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
	id        key.ID
	attempt   key.ID
	print     request.Fingerprint
	owner     *simNode
	boot      string // the owner's process at the time; it may have crashed since
	phase     string // asking, running, ended, given-up
	acked     bool   // its settlement was acknowledged
	otherBody bool   // its body differs from that of the key's other requests
}

type simWait struct {
	attempt  *simAttempt
	kind     Kind
	delivery simDelivery
}

// simDelivery is an entry and the process that it was sent to.
type simDelivery struct {
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
		waits: map[uint64]*simWait{}, ran: map[key.ID]*simAttempt{}, firstAnswers: map[key.ID]string{}, unrefused: map[simDelivery]int{},
	}
	s.store.variant = v
	for range simNodes {
		n := &simNode{}
		s.boot(n)
		s.nodes = append(s.nodes, n)
	}
	return s
}

// boot starts a node's process, or restarts it after a crash.
func (s *sim) boot(n *simNode) {
	s.boots++
	n.boot = fmt.Sprintf("n%d", s.boots)
	n.log = NewLog(s.name, settings(n.boot), s.oldFloor())
	n.read, n.create, n.paused = nil, nil, false
}

// oldFloor returns the floor that a process may have cached, or nil.
func (s *sim) oldFloor() *Floor {
	if s.rng.IntN(2) == 0 {
		return nil
	}
	f := s.store.floor(s.name)
	return &f
}

func (s *sim) run() error {
	for step := 0; step < simSteps && s.violation == nil; step++ {
		s.step()
	}
	if s.violation == nil {
		s.finish()
	}
	return s.violation
}

func (s *sim) fail(format string, args ...any) {
	if s.violation == nil {
		s.violation = fmt.Errorf(format, args...)
	}
}

// Random schedules of faults must never let a key run twice, change a settled answer or
// lose an acknowledged settlement. To repeat a failing seed, use
// -run TestRandomSchedules -first-seed N -seeds 1.
func TestRandomSchedules(t *testing.T) {
	var runs, settles int
	for seed := *firstSeed; seed < *firstSeed+uint64(*seeds); seed++ {
		s := newSim(seed, variant{})
		if err := s.run(); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		runs += len(s.ran)
		settles += len(s.firstAnswers)
	}
	t.Logf("%d seeds, %d runs, %d settled answers heard", *seeds, runs, settles)
	if runs < *seeds || settles < *seeds/4 {
		t.Fatal("the schedules reach too little")
	}
}

// If the random schedules did not detect a protocol that lacks one of its guards, they
// would prove nothing.
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
