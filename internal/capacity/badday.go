package capacity

// BadDay describes the effects of one large failure on the figures.
type BadDay struct {
	Name  string   `json:"name"`
	Lines []string `json:"lines"`
}
