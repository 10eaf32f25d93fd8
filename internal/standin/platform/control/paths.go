package control

// Paths of the fault port.
const (
	// PathFaults accepts a fault.Change (POST) and returns a fault.Set (GET and POST).
	PathFaults = "/faults"
	// PathLimits accepts a memory.LimitsChange (POST) and returns a memory.Limits
	// (GET and POST).
	PathLimits = "/limits"
	// PathQuality accepts a rating.Quality (POST) and returns it.
	PathQuality = "/quality"
	// PathStats returns a memory.Stats (GET).
	PathStats = "/stats"
	// PathDump returns a memory.Dump (GET). Its query parameter is "prefix".
	PathDump = "/dump"
)
