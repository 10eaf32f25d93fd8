package service

// Run is one execution of a call.
type Run struct {
	Method    string `json:"method"`
	Path      string `json:"path"`
	Key       string `json:"key"`
	Completed bool   `json:"completed"`
}
