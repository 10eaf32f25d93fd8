package config

// Service is a plain upstream service beside the model engines.
type Service struct {
	Name  string `json:"name"`
	Calls []Call `json:"calls"`
}
