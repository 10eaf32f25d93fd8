package wire

// Paths of the platform's HTTP interface.
const (
	PathGet    = "/table/get"
	PathScan   = "/table/scan"
	PathCommit = "/table/commit"
	// PathObjects takes the object's key in the query parameter "key".
	PathObjects = "/objects"
	// PathObjectKeys takes the query parameter "prefix".
	PathObjectKeys = "/object-keys"
	PathVMs        = "/vms"
	PathRate       = "/rate"
	PathWeights    = "/weights"
)

// Names of query parameters.
const (
	QueryKey    = "key"
	QueryPrefix = "prefix"
)

// MaxBody is the maximum size of the body of a request or response, in bytes. It does
// not apply to weights.
const MaxBody = 64 << 20
