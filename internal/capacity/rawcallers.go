package capacity

import (
	"sync"

	"github.com/sourcegraph/conc"
)

// rawCallers ask side by side.
type rawCallers []*rawCaller

// run lets every caller have n answers.
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

func (cs rawCallers) close() {
	for _, c := range cs {
		c.close()
	}
}
