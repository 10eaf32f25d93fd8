// Package logring writes log lines asynchronously. It drops lines instead of
// blocking a request when the queue is full or the log's reader is blocked.
package logring

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queueLines is the capacity of the queue of unwritten lines.
	queueLines = 2048
	// infoLinesPerSecond and infoLineBurst are the rate limit of lines below warning
	// level. Lines on failures are exempt.
	infoLinesPerSecond = 400
	infoLineBurst      = 800
	// batchBytes is the size from which a batch is written without further delay.
	batchBytes = 16 << 10
	// batchDelay is how long lines are collected for one write, since each write
	// costs a system call.
	batchDelay = 50 * time.Millisecond
)

// Writer is an io.Writer that never blocks. Each call of Write is one line.
type Writer struct {
	dest    io.Writer
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Int64

	// mu orders the close of lines after all sends.
	mu     sync.RWMutex
	closed bool
}

// New starts a writer that writes to dest in the background; Close ends it.
func New(dest io.Writer) *Writer {
	w := &Writer{dest: dest, lines: make(chan []byte, queueLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a copy of the line, or drops and counts it when the queue is full or the writer
// is closed. It never returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	queued := append([]byte(nil), line...)
	w.mu.RLock()
	defer w.mu.RUnlock()
	if w.closed {
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.lines <- queued:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped since the start.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes the queued lines and ends the writer. Later lines are dropped: goroutines that
// outlive the node may still log.
func (w *Writer) Close() {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
	w.mu.Unlock()
	<-w.done
}

func (w *Writer) run() {
	defer close(w.done)
	var batch []byte
	for line := range w.lines {
		batch = append(batch[:0], line...)
		timer := time.NewTimer(batchDelay)
		batch = w.collect(batch, timer.C)
		timer.Stop()
		_, _ = w.dest.Write(batch) // there is no other place to report a failed log write
	}
}

// collect adds lines until the batch is full, the timeout expires or the queue is closed.
func (w *Writer) collect(batch []byte, timeout <-chan time.Time) []byte {
	for len(batch) < batchBytes {
		select {
		case line, ok := <-w.lines:
			if !ok {
				return batch
			}
			batch = append(batch, line...)
		case <-timeout:
			return batch
		}
	}
	return batch
}
