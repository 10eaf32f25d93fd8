package capacity

// Slope is how a cost grows with a size.
type Slope struct {
	// Name is unique, for example "balance.pick".
	Name string `json:"name"`
	// What is measured, in words.
	What string `json:"what"`
	// Per names what the sizes count.
	Per    string  `json:"per"`
	Unit   Unit    `json:"unit"`
	Points []Point `json:"points"`
}

// Line is the line through the points.
func (s Slope) Line() Line { return Fit(s.Points) }
