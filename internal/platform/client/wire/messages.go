package wire

import "github.com/hickorybank/hickorybank/internal/platform"

// GetRequest asks for one row.
type GetRequest struct {
	Key string `json:"key"`
}

// ScanRequest asks for rows in key order.
type ScanRequest struct {
	Prefix string `json:"prefix"`
	After  string `json:"after,omitempty"`
	Limit  int    `json:"limit"`
}

// ScanResponse holds the rows found.
type ScanResponse struct {
	Rows []platform.Row `json:"rows"`
}

// KeysResponse holds the keys of objects, in order.
type KeysResponse struct {
	Keys []string `json:"keys"`
}

// VMsResponse holds the VM list.
type VMsResponse struct {
	VMs []platform.VM `json:"vms"`
}

// RateResponse holds a score in [0,1].
type RateResponse struct {
	Score float64 `json:"score"`
}
