// Command hickorybank is a model-aware router for versions and cascades.
package main

import (
	"os"

	"github.com/hickorybank/hickorybank/internal/cli"
	"github.com/hickorybank/hickorybank/platform"
)

func main() {
	gateway := cli.Extra{
		Name: "gateway", Short: "run a node on the users' platform",
		Long: platform.Help, Data: &platform.Command{Out: os.Stdout},
	}
	os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr, gateway))
}
