// Command hickorybank is a model-aware router for versions and cascades.
package main

import (
	"os"

	"github.com/hickorybank/hickorybank/internal/cli"
)

func main() { os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr)) }
