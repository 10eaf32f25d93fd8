package capacity

// Slope is a measured cost as a function of a size.
type Slope struct {
	// Name is unique, for example "balance.pick".
	Name string `json:"name"`
	// What describes the measured cost.
	What string `json:"what"`
	// Per names the unit of the sizes.
	Per    string  `json:"per"`
	Unit   Unit    `json:"unit"`
	Points []Point `json:"points"`
}

// Line returns the line fitted to the points.
func (s Slope) Line() Line { return Fit(s.Points) }
