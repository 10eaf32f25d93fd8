package capacity

import (
	"sync"

	"github.com/sourcegraph/conc"
)

// rawCallers send requests concurrently.
type rawCallers []*rawCaller

// run has every caller read n answers and returns an error if one fails.
func (cs rawCallers) run(n int) error {
	var mu sync.Mutex
	var first error
	var all conc.WaitGroup
	for _, c := range cs {
		all.Go(func() {
			for range n {
				if err := c.run(); err != nil {
					mu.Lock()
					first = err
					mu.Unlock()
					return
				}
			}
		})
	}
	all.Wait()
	return first
}

// measure returns the processor time of one answer in nanoseconds. It excludes the first answers,
// which open connections.
func (cs rawCallers) measure(m Meter) (float64, error) {
	if err := cs.run(1); err != nil {
		return 0, err
	}
	var failed error
	v := m.CPU(func(n int) {
		if err := cs.run(n); err != nil {
			failed = err
		}
	})
	return v / float64(len(cs)), failed
}

func (cs rawCallers) close() {
	for _, c := range cs {
		c.close()
	}
}
