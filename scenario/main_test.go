package scenario

import (
	"cmp"
	"io"
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/hickorybank/hickorybank/internal/cli"
)

// product is the name under which the test binary stands in for the product's.
const product = "hickorybank"

// binary is the program that scenarios start: the product as tested here, or
// another build of it.
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

// guardVariable is set for processes whose standard input is a pipe that the
// test holds open.
const guardVariable = "SCENARIO_GUARD"

// exitWithParent ends this process when the test does, however it ends: the
// pipe closes then. Without it a test that panics leaves processes behind.
func exitWithParent() {
	_, _ = io.Copy(io.Discard, os.Stdin)
	os.Exit(1)
}
