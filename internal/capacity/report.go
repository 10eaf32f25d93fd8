package capacity

// Report is one run: what was measured and what follows from it.
type Report struct {
	Size        Size        `json:"size"`
	Budget      Budget      `json:"budget"`
	Assumptions Assumptions `json:"assumptions"`
	Slopes      Slopes      `json:"slopes"`
	// Single has one table for all regions, PerRegion one for each.
	Single    Results `json:"single"`
	PerRegion Results `json:"per_region"`
}

// NewReport works out the report from measured slopes.
func NewReport(s Slopes) (Report, error) {
	m := NewModel(s)
	single, err := m.Results()
	if err != nil {
		return Report{}, err
	}
	perRegion, err := m.WithTables(m.Size.Regions).Results()
	if err != nil {
		return Report{}, err
	}
	return Report{Size: m.Size, Budget: m.Budget, Assumptions: m.Assume, Slopes: s, Single: single, PerRegion: perRegion}, nil
}
