package scenario

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// callLogName is the name of the file, beside the processes' logs, that lists all calls.
const callLogName = "callers.log"

// callLog writes a line for each call: when it was sent, how long it took, what it asked for
// and how it ended. Without it, a call that ended late cannot be distinguished from a late call.
type callLog struct {
	mu   sync.Mutex
	path string
}

func newCallLog(dir string) *callLog { return &callLog{path: filepath.Join(dir, callLogName)} }

// add appends the line of a call that was sent at began.
func (l *callLog) add(began time.Time, r result) {
	took := time.Since(began).Round(time.Millisecond)
	o := r.call
	line := fmt.Sprintf("%s took=%v entry=%s org=%s key=%s model=%s service=%s%s %s",
		began.UTC().Format(time.RFC3339Nano), took, o.entry, o.org, o.key, o.model, o.service, o.path, strings.TrimSpace(r.String()))
	l.mu.Lock()
	defer l.mu.Unlock()
	f, err := os.OpenFile(l.path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return // the folder is gone when the scenario has ended
	}
	defer f.Close()
	fmt.Fprintln(f, line)
}
