package fleet2

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Record is the record of a run, one line for each event.
type Record struct {
	mu    sync.Mutex
	out   *bufio.Writer
	file  *os.File
	began time.Time
}

// NewRecord creates record.txt in a folder.
func NewRecord(dir string) (*Record, error) {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &Record{out: bufio.NewWriter(f), file: f, began: time.Now()}, nil
}

// Since returns the time of an event in the record.
func (r *Record) Since(at time.Time) time.Duration { return at.Sub(r.began) }

// Note adds a line about now.
func (r *Record) Note(format string, args ...any) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f ", now.Sub(r.began).Seconds()) // Close reports errors
	_, _ = fmt.Fprintf(r.out, format+"\n", args...)                 // as above
}

// Say adds a line and prints it.
func (r *Record) Say(format string, args ...any) {
	r.Note(format, args...)
	fmt.Printf("%8.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, args...)...)
}

// Close writes what is left.
func (r *Record) Close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.out.Flush(); err != nil {
		return err
	}
	return r.file.Close()
}
