package scenario

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"
)

// processorTime is how long a process has run, and how long its threads were ready to run and
// waited for a processor.
type processorTime struct{ ran, waited time.Duration }

// readProcessorTime returns the times of a process, without those of threads that have ended.
// The source is the kernel's schedstat of each thread.
func readProcessorTime(pid int) processorTime {
	var all processorTime
	threads, _ := filepath.Glob(filepath.Join("/proc", strconv.Itoa(pid), "task", "*", "schedstat")) // the pattern is valid
	for _, path := range threads {
		data, err := os.ReadFile(path)
		fields := strings.Fields(string(data))
		if err != nil || len(fields) < 2 {
			continue // the thread has ended, or the kernel keeps no statistics
		}
		ran, _ := strconv.ParseInt(fields[0], 10, 64)
		waited, _ := strconv.ParseInt(fields[1], 10, 64)
		all.ran += time.Duration(ran)
		all.waited += time.Duration(waited)
	}
	return all
}

// processorTimes describes the times of all processes that run. A process that waited many
// times longer than it ran was starved.
func (c *cluster) processorTimes() string {
	c.mu.Lock()
	procs := maps.Clone(c.procs)
	c.mu.Unlock()
	var b strings.Builder
	for _, id := range slices.Sorted(maps.Keys(procs)) {
		t := readProcessorTime(procs[id].cmd.Process.Pid)
		fmt.Fprintf(&b, "%s ran %v, waited for a processor %v\n", id, t.ran.Round(time.Millisecond), t.waited.Round(time.Millisecond))
	}
	return b.String()
}
