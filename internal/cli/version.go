package cli

import (
	"fmt"
	"runtime"
)

// version is set by the linker at build time.
var version = "dev"

const versionHelp = `Print the version, and what it was built with and for.

Example:
  hickorybank version`

type versionCommand struct {
	env *env
}

// Execute prints the version.
func (c *versionCommand) Execute([]string) error {
	fmt.Fprintln(c.env.out, "hickorybank", version, runtime.Version(), runtime.GOOS+"/"+runtime.GOARCH)
	return nil
}
