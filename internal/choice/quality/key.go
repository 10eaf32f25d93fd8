package quality

// Key identifies a cell.
type Key struct {
	Version string
	Class   string
}
