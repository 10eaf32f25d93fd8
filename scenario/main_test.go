package scenario

import (
	"cmp"
	"io"
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/hickorybank/hickorybank/internal/cli"
)

// product is the command name under which the test binary runs as the product.
const product = "hickorybank"

// binary is the program that scenarios start: the test binary itself, or the build that
// SCENARIO_BINARY names.
var binary = cmp.Or(os.Getenv("SCENARIO_BINARY"), product)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){product: runBinary})
}

func runBinary() {
	if os.Getenv(guardVariable) != "" {
		go exitWithParent()
	}
	os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr))
}

// guardVariable is set for processes whose standard input is a pipe that the test holds
// open.
const guardVariable = "SCENARIO_GUARD"

// exitWithParent exits when the test does: the pipe on standard input is closed then.
// Without it, a test that panics leaves processes running.
func exitWithParent() {
	_, _ = io.Copy(io.Discard, os.Stdin)
	os.Exit(1)
}
