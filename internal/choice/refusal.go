package choice

// Refusal is the reason why no version may run a request. The request must then not run.
type Refusal string

// The reasons for a refusal.
const (
	// RefuseNone is the zero value: the plan runs.
	RefuseNone Refusal = ""
	// RefuseNoVersion means that the request named no version that may serve it.
	RefuseNoVersion Refusal = "no_version"
	// RefuseHeld means that the session's version is held because it degraded. A new
	// session may start on another version.
	RefuseHeld Refusal = "version_held"
	// RefuseUngranted means that only a staged version could serve the request, and no
	// answer of it is granted at present. It may be retried later.
	RefuseUngranted Refusal = "version_not_granted"
	// RefuseNoEngine means that no engine can run the session's version at present.
	// Sessions are not moved to another version; the request may be retried later.
	RefuseNoEngine Refusal = "version_without_engine"
)
