package sim

import (
	"strconv"
	"time"

	"github.com/hickorybank/hickorybank/internal/balance"
	"github.com/hickorybank/hickorybank/internal/config"
	"github.com/hickorybank/hickorybank/internal/standin/engine/model"
)

// job is one request of a caller, over all its tries.
type job struct {
	id    uint64
	class *Class
	org   int
	// prefix, prefill and tokens are drawn once per request. For service calls, prefill
	// is the service time.
	prefix   uint64
	prefill  time.Duration
	tokens   int
	measured bool // counts in the result

	// tries counts the caller's retries; attempts counts the node's attempts in the
	// current try.
	tries      int
	attempts   int
	node       *node
	receivedAt time.Duration
	deadline   time.Duration
	running    bool // admitted and not finished
	ended      bool // this try has ended

	server       *server
	token        balance.Token
	ticket       model.Ticket
	sentAt       time.Duration
	firstTokenAt time.Duration
	cached       bool
	exclude      []string
}

// admissionID returns the admission queue's ID of the current try.
func (j *job) admissionID() string {
	return strconv.FormatUint(j.id, 10) + "/" + strconv.Itoa(j.tries)
}

// soloTime returns the seconds that an engine without other requests needs for the
// job, with its prompt uncached.
func (j *job) soloTime() float64 {
	return j.prefill.Seconds() + float64(j.tokens)*assumedStep.Seconds()
}

// priority returns the priority for the engine; lower values run first.
func (j *job) priority() int {
	switch j.class.Kind {
	case config.Immediate:
		return 0
	case config.Heavy:
		return 1
	}
	return 2
}

// reply is a message of an upstream about an attempt.
type reply int

const (
	replyFirstToken reply = iota
	replyCompleted
	replyDeclined
	replyUnreached
	replyBroken
)

func (a reply) outcome() balance.Outcome {
	switch a {
	case replyDeclined:
		return balance.Declined
	case replyUnreached:
		return balance.Unreached
	case replyBroken:
		return balance.Broken
	}
	return balance.Succeeded
}
