package capacity

import (
	"errors"
	"runtime"

	"github.com/sourcegraph/conc"
)

// measureStreamHeap takes the live heap and the stacks while streams stand
// still in the middle of their answers, less those before.
func measureStreamHeap(_ Meter, streams int) (float64, error) {
	const pieces = 8
	r, err := newStreamRig(streams, pieces)
	if err != nil {
		return 0, err
	}
	defer r.close()
	before := heapAndStacks()
	halted := make(chan struct{})
	release := make(chan struct{})
	var all conc.WaitGroup
	errs := make([]error, streams)
	for i, c := range r.callers {
		c.halt = func() {
			halted <- struct{}{}
			<-release
		}
		all.Go(func() { errs[i] = c.run() })
	}
	for range r.callers {
		<-halted
	}
	after := heapAndStacks()
	close(release)
	all.Wait()
	return after - before, errors.Join(errs...)
}

func heapAndStacks() float64 {
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return float64(s.HeapAlloc + s.StackInuse)
}
