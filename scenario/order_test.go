package scenario

// order is one call that a scenario makes.
type order struct {
	entry string // process
	addr  string // IP and port
	org   string
	key   string // idempotency key, or empty
	class string

	timeoutMS string
	session   string // token of an earlier answer
	start     bool   // begin a session

	// chat requests
	model  string
	text   string
	stream bool

	// calls of a plain service
	service string
	method  string
	path    string
	body    string
}

func (o order) chat() bool { return o.service == "" }
