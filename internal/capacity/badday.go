package capacity

// BadDay is what becomes of the figures when something large fails.
type BadDay struct {
	Name  string   `json:"name"`
	Lines []string `json:"lines"`
}
