package node

import "github.com/hickorybank/hickorybank/internal/config"

// The priorities sent to engines; the lowest value runs first.
const (
	priorityImmediate = iota
	priorityHeavy
	priorityDeferrable
)

func priority(k config.Kind) int {
	switch k {
	case config.Immediate:
		return priorityImmediate
	case config.Heavy:
		return priorityHeavy
	default:
		return priorityDeferrable
	}
}
