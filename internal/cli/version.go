package cli

import (
	"fmt"
	"runtime"
)

// version is set by the build.
var version = "dev"

type versionCommand struct {
	env *env
}

// Execute prints the version.
func (c *versionCommand) Execute([]string) error {
	fmt.Fprintln(c.env.out, "hickorybank", version, runtime.Version(), runtime.GOOS+"/"+runtime.GOARCH)
	return nil
}
