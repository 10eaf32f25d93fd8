package capacity

// Report holds the measurements of one run and the results of the model.
type Report struct {
	Size        Size        `json:"size"`
	Budget      Budget      `json:"budget"`
	Assumptions Assumptions `json:"assumptions"`
	Slopes      Slopes      `json:"slopes"`
	// Single assumes one table for all regions, PerRegion one table for each region.
	Single    Results `json:"single"`
	PerRegion Results `json:"per_region"`
}

// NewReport evaluates the model on measured slopes. It returns [ErrMissing] if one is missing.
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
