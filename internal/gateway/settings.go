package gateway

import "time"

// Settings are the settings of a node.
type Settings struct {
	// ID is the node's name, Domain its failure domain and Region its region.
	ID, Domain, Region string
	// Regions are the regions of all failure domains, by the domains' names.
	Regions map[string]string
	// Front, Ready, Directory, Peer and Metrics are the addresses to listen on, as
	// host:port. Empty ones are not served.
	Front, Ready, Directory, Peer, Metrics string
	// Seeds are the addresses of peers to contact first; some may be out of date.
	Seeds []string
	// Seed initialises the node's random choices; 0 means a random seed.
	Seed uint64
	// Bootstrap is set while the whole deployment starts for the first time.
	Bootstrap bool
	// MemoryMB is the memory of the process in MiB; 0 for no bound.
	MemoryMB int
	// MaxFDs is the number of descriptors that the process may have; 0 for no bound.
	MaxFDs int
	// Link is the bandwidth of the machine's link in bytes per second, each way; 0 if
	// unknown.
	Link float64

	// Apply is the time within which a change must take effect.
	Apply time.Duration
	// Drain is the time within which a leaving upstream must stop receiving requests.
	Drain time.Duration
	// Evacuate is the time within which an evacuated failure domain must stop receiving
	// requests; 0 if only the other bounds apply.
	Evacuate time.Duration
	// Grace is the time within which a stop must finish.
	Grace time.Duration
	// AddressTTL is how long callers may cache an answer of the directory.
	AddressTTL time.Duration
	// RetryRatio and RetrySlack bound the further attempts of all nodes in RetryWindow: the
	// ratio times the requests, plus the slack.
	RetryRatio, RetrySlack float64
	RetryWindow            time.Duration
	// ExposeShare and ExposeSlack bound the requests that an unproven version may get: a
	// share of the requests, plus a number.
	ExposeShare, ExposeSlack float64
	// Session is the longest pause between two requests of a session.
	Session time.Duration
	// WarmUpOver times its rate plus WarmUpSlack bounds the requests that may reach an
	// upstream that is warming up within any second, from all nodes together.
	WarmUpOver, WarmUpSlack float64
	// Accept is the lowest confidence at which a small model's answer is accepted.
	// AcceptBusy is the lowest if upstreams have no capacity for a larger model, AcceptFull
	// if requests queue at them; 0 for AcceptBusy.
	Accept, AcceptBusy, AcceptFull int
	// QueueWait is the part of its latency goal, in percent, that a request waits here while
	// the engines have no room; 0 to send all requests at once.
	QueueWait int
}

// readInterval returns the pause between a reader's readings of the table.
func (s *Settings) readInterval() time.Duration {
	bound := min(s.Drain, s.Apply)
	if s.Evacuate > 0 {
		bound = min(bound, s.Evacuate)
	}
	return time.Duration(readFraction * float64(bound))
}

const (
	// readFraction is the read interval as a fraction of the bounds on changes. Two
	// readings fit into a bound, in case one is lost.
	readFraction = 0.45
	// orderLag is how late a node usually learns of an order. The reader's call returns at
	// once, and the reader then informs its group.
	orderLag = 300 * time.Millisecond
	// tableCallTimeout bounds the wait for the table's first bytes, which take some
	// milliseconds, and each pause after them. Connections may stop responding without a
	// reset.
	tableCallTimeout = 600 * time.Millisecond
	// maxTableTransfer bounds the transfer of a table's answer: 16 MB over 10 Mbit/s.
	maxTableTransfer = 14 * time.Second
	// maxRetryDelay is the pause after a failed call to join or to write a rollout's state.
	maxRetryDelay = time.Second
	// maxParallelExchanges bounds the peers that a node calls at the same time.
	maxParallelExchanges = 8
	// settlingPushInterval is the pause between a leader's pushes to its group while a
	// rollout begins.
	settlingPushInterval = 350 * time.Millisecond
	// lapseGrace is how long upstreams that vanished during an outage of the table are
	// retained after the first reading. Live upstreams are listed again within two seconds
	// of the table's return, which was before the reading.
	lapseGrace = 1800 * time.Millisecond
	// recoveryWindow is how long the list is read every recoveryInterval after an outage of
	// the table, until all entries that lapsed are back.
	recoveryWindow   = 2400 * time.Millisecond
	recoveryInterval = 300 * time.Millisecond
	// gossipInterval is the pause between exchanges with peers.
	gossipInterval = 600 * time.Millisecond
	// rolloutTickInterval is the pause between evaluations of rollouts.
	rolloutTickInterval = 250 * time.Millisecond
	// soakTickInterval is that pause, and the one between a leader's pushes, while all sessions go
	// to a version without a verdict.
	soakTickInterval = 125 * time.Millisecond
	// sweepInterval is the pause between sweeps of idle connections.
	sweepInterval = 300 * time.Millisecond
	// eventStallFactor is how long a stream may stay silent before it resumes at another
	// upstream, as a multiple of the goal for pauses.
	eventStallFactor = 2.5
	// commonSilenceFactor is how long a silence of most upstreams of a service counts as common, as a
	// multiple of the stall timeout.
	commonSilenceFactor = 2
	// firstEventStallFactor bounds the wait for a stream's first event, as a multiple of
	// the route's goal, if the stream can resume at another upstream.
	firstEventStallFactor = 1.5
	// upstreamWaitFraction is how long a request waits for an upstream when none is
	// available, as a fraction of the route's goal.
	upstreamWaitFraction = 0.12
	// waitPollInterval is the pause between checks of a request that waits for an upstream
	// or a configuration, and of a node that stops.
	waitPollInterval = 25 * time.Millisecond
	// maxWaitPollInterval bounds the pause between checks when it is known when an upstream
	// has capacity: another one may be listed before.
	maxWaitPollInterval = 250 * time.Millisecond
	// refusedRetryAfter is when a refused caller should retry. A full upstream has capacity
	// within a second, and callers try only a few times.
	refusedRetryAfter = 600 * time.Millisecond
	// notReadyRetryAfter is when to retry at a node without a configuration, which it reads
	// within a second of the table's return.
	notReadyRetryAfter = 1200 * time.Millisecond
	// nonIdempotentMaxIdle bounds the idle time of a reused connection for requests that
	// are not idempotent.
	nonIdempotentMaxIdle = time.Second
	// maxBufferedBytes is the largest answer that is buffered; a larger one is streamed.
	maxBufferedBytes = 512 << 10
	// maxUnframedBytes bounds an answer that states no length. Its caller could not tell its end
	// from bytes without end.
	maxUnframedBytes = 64 << 20
	// defaultTimeout bounds requests of routes without a timeout.
	defaultTimeout = 30 * time.Second
	// stopReserve is how long before the end of the grace a stopping node abandons the
	// remaining requests.
	stopReserve = 300 * time.Millisecond
	// stopMargin is added to the directory's time to live before a stopping node stops
	// accepting connections.
	stopMargin = 600 * time.Millisecond
	// memoryFraction is the fraction of the process's memory that is set as the runtime's
	// soft memory limit.
	memoryFraction = 0.7
	// newVersionHold is how long upstreams of a version that no order names get no
	// requests: the order may be on its way.
	newVersionHold = 3 * time.Second
)
