package fault

// Service is a part of the platform that fails on its own.
type Service int

// The services.
const (
	Table Service = iota
	Objects
	VMs
	Rating
	Weights
	services
)

var names = [services]string{"table", "objects", "vms", "rating", "weights"}

// String returns the service's name in the settings.
func (s Service) String() string { return names[s] }

// writes says whether the service has calls that take effect.
func (s Service) writes() bool { return s == Table || s == Objects }
