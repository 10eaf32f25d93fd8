package control

// Paths of the fault port.
const (
	// PathFaults takes a fault.Change (POST) and gives a fault.Set (GET).
	PathFaults = "/faults"
	// PathLimits takes a memory.LimitsChange (POST) and gives a memory.Limits
	// (GET).
	PathLimits = "/limits"
	// PathQuality takes a rating.Quality (POST).
	PathQuality = "/quality"
	// PathStats gives a memory.Stats (GET).
	PathStats = "/stats"
	// PathDump gives a memory.Dump (GET); its query parameter is "prefix".
	PathDump = "/dump"
)
