package exposure

// Grant is the answer to a node that asked for exposure of a version.
type Grant struct {
	// Units is how many answers the node may let the version give.
	Units int
	// Open says that the ratings are in and good, so that no units are needed.
	Open bool
}
