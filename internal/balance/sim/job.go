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
	// prefix, prefill and tokens are drawn once; a service's call takes
	// prefill.
	prefix  uint64
	prefill time.Duration
	tokens  int
	counted bool // offered after the warm-up

	// tries are the caller's; attempts are the node's in this try.
	tries    int
	attempts int
	node     *node
	offered  time.Duration
	deadline time.Duration
	running  bool // admitted and not ended
	over     bool // this try has ended

	server  *server
	token   balance.Token
	ticket  model.Ticket
	sent    time.Duration
	first   time.Duration
	cached  bool
	exclude []string
}

// admissionID names the job's present try.
func (j *job) admissionID() string {
	return strconv.FormatUint(j.id, 10) + "/" + strconv.Itoa(j.tries)
}

// work is the seconds that a lone engine needs for the job, its prompt uncached.
func (j *job) work() float64 {
	return j.prefill.Seconds() + float64(j.tokens)*assumedGap.Seconds()
}

// priority is what the engine is told; a lower one runs first.
func (j *job) priority() int {
	switch j.class.Kind {
	case config.Immediate:
		return 0
	case config.Heavy:
		return 1
	}
	return 2
}

// answer is what an upstream says of a job.
type answer int

const (
	first answer = iota
	whole
	declined
	unreached
	broken
)

func (a answer) outcome() balance.Outcome {
	switch a {
	case declined:
		return balance.Declined
	case unreached:
		return balance.Unreached
	case broken:
		return balance.Broken
	}
	return balance.Succeeded
}
