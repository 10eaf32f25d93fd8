package platform

// Platform is all of it together.
type Platform interface {
	Table
	Rater
	// Objects returns the object store.
	Objects() Objects
	// VMs returns the VM list.
	VMs() VMs
}
