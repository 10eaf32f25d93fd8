package secure

// Files holds the paths of the PEM files for TLS. If all are empty, the node uses
// plain TCP.
type Files struct {
	// Certificate is the path of the node's certificate.
	Certificate string
	// Key is the path of the private key of Certificate.
	Key string
	// PeerAuthority is the path of the CA certificate that signs the certificates of
	// the entry nodes. If it is empty, entry nodes connect to each other without TLS.
	PeerAuthority string
}
