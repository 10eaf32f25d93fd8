// Package logring writes log lines beside the work that logs them: a full ring
// or a reader that does not read drops lines instead of blocking a request.
package logring

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// ringLines is how many lines may wait.
	ringLines = 2048
	// perSecond bounds the lines of the usual course in a second, burst how
	// many may come at once. Lines on failures are not held to it.
	perSecond = 400
	burst     = 800
	// batchBytes is how much is written at a time.
	batchBytes = 16 << 10
	// gather is how long lines are gathered for one write, as each costs a
	// call of the system.
	gather = 50 * time.Millisecond
)

// Writer is an io.Writer that never blocks. Each Write is one line.
type Writer struct {
	to      io.Writer
	lines   chan []byte
	done    chan struct{}
	once    sync.Once
	dropped atomic.Int64
}

// New starts a writer to an underlying one.
func New(to io.Writer) *Writer {
	w := &Writer{to: to, lines: make(chan []byte, ringLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write takes a line or drops it.
func (w *Writer) Write(line []byte) (int, error) {
	own := append([]byte(nil), line...)
	select {
	case w.lines <- own:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped so far.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes what waits and ends the writer. No Write may follow.
func (w *Writer) Close() {
	w.once.Do(func() { close(w.lines) })
	<-w.done
}

func (w *Writer) run() {
	defer close(w.done)
	var batch []byte
	for line := range w.lines {
		batch = append(batch[:0], line...)
		timer := time.NewTimer(gather)
		batch = w.collect(batch, timer.C)
		timer.Stop()
		_, _ = w.to.Write(batch) // nobody is left to be told
	}
}

// collect adds lines until the batch is full, time is over or the ring closes.
func (w *Writer) collect(batch []byte, over <-chan time.Time) []byte {
	for len(batch) < batchBytes {
		select {
		case line, ok := <-w.lines:
			if !ok {
				return batch
			}
			batch = append(batch, line...)
		case <-over:
			return batch
		}
	}
	return batch
}
