package cli

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// runAsCommandVariable is the environment variable that makes this test binary run as the
// hickorybank command.
const runAsCommandVariable = "TEST_BINARY_IS_HICKORYBANK"

const operationsPage = "../../docs/OPERATIONS.md"

// codeBlocks returns the texts of a page's code blocks in one language.
func codeBlocks(page, language string) []string {
	var found []string
	for _, part := range strings.Split(page, "\n```"+language+"\n")[1:] {
		block, _, _ := strings.Cut(part, "\n```")
		found = append(found, block)
	}
	return found
}

// Operators copy commands from the page. Each must work as it stands, in the order of the page.
func TestCommandsOfOperationsPageWork(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile(operationsPage)
	is.NoErr(err)
	executable, err := os.Executable()
	is.NoErr(err)
	bin, work := t.TempDir(), t.TempDir()
	script := "#!/bin/sh\n" + runAsCommandVariable + "=1 exec '" + executable + "' \"$@\"\n"
	is.NoErr(os.WriteFile(filepath.Join(bin, "hickorybank"), []byte(script), 0o700))
	r := startDev(t, "--deployment", "tarifas", "--entries", "2")
	defer r.stop(t)
	words := strings.Fields(r.line("export"))
	environment := append(os.Environ(), "PATH="+bin+":"+os.Getenv("PATH"), words[1], words[2])
	examples := codeBlocks(string(page), "sh")
	is.True(len(examples) > 5)
	for _, block := range examples {
		cmd := exec.Command("sh", "-eu", "-c", block)
		cmd.Dir = work
		cmd.Env = environment
		out, err := cmd.CombinedOutput()
		if err != nil {
			t.Errorf("%v\n%s\n%s", err, block, out)
		}
	}
}
