package wire

import "github.com/hickorybank/hickorybank/internal/platform"

// GetRequest is the body of a request for one row.
type GetRequest struct {
	Key string `json:"key"`
}

// ScanRequest is the body of a request for rows in key order; see [platform.Table].
type ScanRequest struct {
	Prefix string `json:"prefix"`
	After  string `json:"after,omitempty"`
	Limit  int    `json:"limit"`
}

// ScanResponse is the response to a ScanRequest.
type ScanResponse struct {
	Rows []platform.Row `json:"rows"`
}

// KeysResponse contains the keys of objects, in ascending order.
type KeysResponse struct {
	Keys []string `json:"keys"`
}

// VMsResponse contains the VM list.
type VMsResponse struct {
	VMs []platform.VM `json:"vms"`
}

// RateResponse contains the score of an answer, in [0,1].
type RateResponse struct {
	Score float64 `json:"score"`
}
