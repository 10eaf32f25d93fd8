package exposure

// Grant is the answer to a node's request for exposure of a version.
type Grant struct {
	// Units is the number of answers that the node may let the version give.
	Units int
	// Open is set when the cap has been lifted, so that no units are needed.
	Open bool
}
