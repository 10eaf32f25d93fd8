package choice

// Refusal is a reason for which no version may run a request. The request is
// then not run.
type Refusal string

// The refusals.
const (
	// RefuseNone is the zero value: the plan runs.
	RefuseNone Refusal = ""
	// RefuseNoVersion: no version was given to choose from.
	RefuseNoVersion Refusal = "no_version"
	// RefuseHeld: the session's version is held because it turned bad. A new
	// session may begin on another version.
	RefuseHeld Refusal = "version_held"
	// RefuseUngranted: the session's version is staged, and no answer of it
	// is granted before its ratings are in. It may be tried again later.
	RefuseUngranted Refusal = "version_not_granted"
	// RefuseNoEngine: no engine can run the session's version at present. A
	// session is not moved; it may be tried again later.
	RefuseNoEngine Refusal = "version_without_engine"
)
