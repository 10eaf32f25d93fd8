package capacity

import (
	"errors"
	"runtime"

	"github.com/sourcegraph/conc"
)

// measureStreamHeap returns the increase of live heap and stacks while streams are paused after
// their first piece.
func measureStreamHeap(_ Meter, streams int) (float64, error) {
	const pieces = 8
	r, err := newStreamRig(streams, pieces)
	if err != nil {
		return 0, err
	}
	defer r.close()
	before := heapAndStacks()
	paused := make(chan struct{})
	release := make(chan struct{})
	var all conc.WaitGroup
	errs := make([]error, streams)
	for i, c := range r.callers {
		c.onFirstPiece = func() {
			paused <- struct{}{}
			<-release
		}
		all.Go(func() { errs[i] = c.run() })
	}
	for range r.callers {
		<-paused
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
