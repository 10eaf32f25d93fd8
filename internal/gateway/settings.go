package gateway

import "time"

// Settings of a node.
type Settings struct {
	// ID is the node's name; Domain and Region are where it is.
	ID, Domain, Region string
	// Regions are the regions of all failure domains, by their names.
	Regions map[string]string
	// Front, Ready, Directory, Peer and Metrics are the addresses to listen
	// on; empty for none.
	Front, Ready, Directory, Peer, Metrics string
	// Seeds are peers' addresses to begin with; they may be stale.
	Seeds []string
	// Founding is set while the whole deployment starts for the first time.
	Founding bool
	// MemoryMB is the process's memory; 0 for no bound.
	MemoryMB int
	// Link is the bandwidth of the machine's link in bytes a second, each way; 0 if
	// it is not known.
	Link float64

	// Apply is how soon a change must be in force.
	Apply time.Duration
	// Drain is how soon a leaving upstream must get nothing more.
	Drain time.Duration
	// Evacuate is how soon an evacuated failure domain must get nothing more; 0 for no
	// bound of its own.
	Evacuate time.Duration
	// Grace is how long a stop may take.
	Grace time.Duration
	// AddressTTL is how long callers may keep an answer of the directory.
	AddressTTL time.Duration
	// RetryRatio and RetrySlack bound further attempts over all nodes, as a
	// share of the requests and a number in RetryWindow.
	RetryRatio, RetrySlack float64
	RetryWindow            time.Duration
	// ExposeShare and ExposeSlack bound the requests that a version in doubt
	// may get.
	ExposeShare, ExposeSlack float64
	// Session is how long requests of a session may be apart.
	Session time.Duration
	// WarmUpOver times its rate, and WarmUpSlack, are what may reach an upstream that
	// warms up within any second, from all nodes together.
	WarmUpOver, WarmUpSlack float64
	// Accept is the confidence from which a small model's answer is taken,
	// AcceptBusy what is enough where upstreams have no room for a larger one.
	Accept, AcceptBusy int
}

// readEvery is the pause between a reader's readings of the table.
func (s *Settings) readEvery() time.Duration {
	bound := min(s.Drain, s.Apply)
	if s.Evacuate > 0 {
		bound = min(bound, s.Evacuate)
	}
	return time.Duration(readPart * float64(bound))
}

const (
	// readPart is the part of the bounds on changes at which a group's reader
	// reads the table: two readings fit in, should one be lost.
	readPart = 0.45
	// orderLag is how late a node usually learns of an order: the reader's call
	// answers at once, and it tells its group.
	orderLag = 300 * time.Millisecond
	// callTimeout bounds the table's first bytes, which come within some
	// milliseconds, and each pause after them; connections may fall silent without a
	// reset.
	callTimeout = 600 * time.Millisecond
	// mostTransfer bounds the transfer of an answer of the table: 16 MB over 10 Mbit/s.
	mostTransfer = 14 * time.Second
	// mostRetryCall bounds it for other calls.
	mostRetryCall = time.Second
	// feedWidth is how many of its group a reader tells at the same time.
	feedWidth = 8
	// settlingEvery is the pause between a reader's news to its group while a
	// roll-out begins.
	settlingEvery = 350 * time.Millisecond
	// lapseGrace is how long upstreams that vanished while the table was away
	// are kept from the first reading on: those that live are listed again
	// within two seconds of the table's return, which was before the reading.
	lapseGrace = 1800 * time.Millisecond
	// returnWatch is how long the list is read each returnEvery after the table was away:
	// until all entries that lapsed are back.
	returnWatch = 2400 * time.Millisecond
	returnEvery = 300 * time.Millisecond
	// gossipEvery is the pause between exchanges with peers.
	gossipEvery = 600 * time.Millisecond
	// tickEvery is the pause between looks at roll-outs.
	tickEvery = 250 * time.Millisecond
	// sweepEvery is the pause between looks at idle connections.
	sweepEvery = 300 * time.Millisecond
	// eventStall is how long a stream may stay silent before it goes on at
	// another upstream, as a multiple of the pause that is on time.
	eventStall = 2.5
	// firstStall bounds the wait for a stream's first event, as a multiple of
	// the route's goal, where the stream can go on at another upstream.
	firstStall = 1.5
	// waitPart is the part of the route's goal that a request waits for an
	// upstream when none is to be had.
	waitPart = 0.12
	// waitStep is the pause between looks for an upstream.
	waitStep = 25 * time.Millisecond
	// waitMost is the longest pause between looks where the time is known at which there is
	// room: another upstream may be listed before.
	waitMost = 250 * time.Millisecond
	// refusedRetryAfter is when a refused caller should come back: a full
	// upstream has room within a second, and callers try only a few times.
	refusedRetryAfter = 600 * time.Millisecond
	// unknownRetryAfter is when to come back to a node that does not know the
	// configuration yet: it is read within a second of the table's return.
	unknownRetryAfter = 1200 * time.Millisecond
	// onceMaxIdle bounds the idle time of a kept connection that carries work
	// which is not idempotent.
	onceMaxIdle = time.Second
	// wholeMost is the largest answer that is held until it is whole; a longer
	// one is passed on as it comes.
	wholeMost = 512 << 10
	// defaultTimeout bounds requests of routes without a time limit.
	defaultTimeout = 30 * time.Second
	// stopQuiet is how long before the end of the grace a stopping node lets
	// go of the work that is left.
	stopQuiet = 300 * time.Millisecond
	// stopMargin is added to the directory's time to live before a stopping
	// node takes no more connections.
	stopMargin = 600 * time.Millisecond
	// memoryPart is the part of the process's memory that the runtime may use
	// before it collects garbage harder.
	memoryPart = 0.7
	// bodiesPart is the part of the memory that bodies in flight may use.
	bodiesPart = 0.25
	// newVersionHold is how long upstreams of a version that nobody ordered
	// are left alone: the order may be on its way.
	newVersionHold = 3 * time.Second
)
