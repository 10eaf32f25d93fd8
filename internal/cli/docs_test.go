package cli

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// asCommand makes this test binary act as the hickorybank command.
const asCommand = "TEST_BINARY_IS_HICKORYBANK"

const operationsPage = "../../docs/OPERATIONS.md"

// blocks returns the text of a page's blocks of one language.
func blocks(page, language string) []string {
	var found []string
	for _, part := range strings.Split(page, "\n```"+language+"\n")[1:] {
		block, _, _ := strings.Cut(part, "\n```")
		found = append(found, block)
	}
	return found
}

// Somebody in the morning, in a hurry, copies a command from the page. Each
// must work as it stands, one after the other.
func TestOperationsPage(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile(operationsPage)
	is.NoErr(err)
	self, err := os.Executable()
	is.NoErr(err)
	bin, work := t.TempDir(), t.TempDir()
	script := "#!/bin/sh\n" + asCommand + "=1 exec '" + self + "' \"$@\"\n"
	is.NoErr(os.WriteFile(filepath.Join(bin, "hickorybank"), []byte(script), 0o700))
	r := startDev(t, "--deployment", "tarifas", "--entries", "2")
	defer r.stop(t)
	words := strings.Fields(r.line("export"))
	environment := append(os.Environ(), "PATH="+bin+":"+os.Getenv("PATH"), words[1], words[2])
	tried := blocks(string(page), "sh")
	is.True(len(tried) > 5)
	for _, block := range tried {
		cmd := exec.Command("sh", "-eu", "-c", block)
		cmd.Dir = work
		cmd.Env = environment
		out, err := cmd.CombinedOutput()
		if err != nil {
			t.Errorf("%v\n%s\n%s", err, block, out)
		}
	}
}
