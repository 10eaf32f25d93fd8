package secure

// Files name PEM files. All empty means plain TCP.
type Files struct {
	// Certificate and Key are the node's own.
	Certificate string
	Key         string
	// PeerAuthority signs the certificates of the entry nodes; empty means
	// that they talk in the clear.
	PeerAuthority string
}
