package admission

import "github.com/hickorybank/hickorybank/internal/config"

// rank orders the kinds of work, most urgent first.
type rank int

const (
	rankImmediate rank = iota
	rankHeavy
	rankDeferrable
	ranks
)

func rankOf(k config.Kind) rank {
	switch k {
	case config.Immediate:
		return rankImmediate
	case config.Deferrable:
		return rankDeferrable
	}
	return rankHeavy
}
