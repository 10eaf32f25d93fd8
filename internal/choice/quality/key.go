package quality

// Key names a cell.
type Key struct {
	Version string
	Class   string
}
