package scenario

import (
	"flag"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"
)

// logs is where the logs of a failed script are kept: the scripts' own folders are deleted.
var logs = flag.String("logs", filepath.Join(os.TempDir(), "scenario-logs"), "folder in which the logs of failed scripts are kept")

// printedLines bounds the lines of each log that are printed with a failure.
const printedLines = 40

// keepLogs copies the processes' logs and the callers' log to a folder of its own, and prints
// the end of each.
func (c *cluster) keepLogs(t testscript.T) {
	if err := os.MkdirAll(*logs, 0o700); err != nil {
		t.Log(err)
		return
	}
	dir, err := os.MkdirTemp(*logs, filepath.Base(c.dir)+"-")
	if err != nil {
		t.Log(err)
		return
	}
	t.Log("logs kept in " + dir)
	paths, _ := filepath.Glob(filepath.Join(c.dir, "*.log")) // the pattern is valid
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err == nil {
			err = os.WriteFile(filepath.Join(dir, filepath.Base(path)), data, 0o600)
		}
		if err != nil {
			t.Log(err)
			continue
		}
		t.Log("end of " + filepath.Base(path) + ":\n" + lastLines(string(data), printedLines))
	}
}

// lastLines returns the last n lines of a text.
func lastLines(text string, n int) string {
	lines := slices.Collect(strings.Lines(text))
	return strings.Join(lines[max(0, len(lines)-n):], "")
}
