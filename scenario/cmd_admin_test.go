package scenario

import (
	"fmt"
	"os/exec"

	"github.com/rogpeppe/go-internal/testscript"
)

// cmdAdmin runs "hickorybank admin" against the platform.
func cmdAdmin(ts *testscript.TestScript, c *cluster, neg bool, args []string) {
	needs(ts, false, args, 1, "admin ARG...")
	full := append([]string{"admin"}, args...)
	full = append(full, "--platform", c.platformFor(ts, "operator"))
	cmd := exec.Command(binary, full...)
	cmd.Dir = ts.MkAbs(".")
	out, err := cmd.CombinedOutput()
	fmt.Fprintf(ts.Stdout(), "%s", out)
	if neg == (err == nil) {
		ts.Fatalf("admin: %v\n%s", err, out)
	}
}
