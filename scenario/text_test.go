package scenario

import (
	"slices"
	"strconv"
)

func exitText(p *process) string { return strconv.Itoa(p.exitCode()) }

func contains(list []string, s string) bool { return slices.Contains(list, s) }
