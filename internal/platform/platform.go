package platform

// Platform combines all interfaces of the platform.
type Platform interface {
	Table
	Rater
	// Objects returns the object store.
	Objects() Objects
	// VMs returns the VM list.
	VMs() VMs
}
