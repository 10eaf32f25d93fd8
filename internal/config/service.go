package config

// Service is a plain upstream service: an HTTP service that is not a model engine.
type Service struct {
	Name  string `json:"name"`
	Calls []Call `json:"calls"`
}
