package dev

import "time"

// Settings are the settings of a [Deployment].
type Settings struct {
	// Deployment is the name of an example deployment.
	Deployment string
	// Listen is the IP and port of the first entry node. The others get free ports of the same IP.
	Listen string
	// AdminListen is the IP and port of the first entry node's administration interface. The others
	// get free ports of the same IP.
	AdminListen string
	// Entries is the number of entry nodes; 0 means the example's number.
	Entries int
	// FirstToken, TokenGap and Tokens set the stand-in engines' time to the first token, time
	// between tokens and tokens of an answer.
	FirstToken time.Duration
	TokenGap   time.Duration
	Tokens     int
	// AddressTTL is how long callers may cache a list of addresses. A graceful stop takes at least
	// that long.
	AddressTTL time.Duration
	// Seed seeds all random choices.
	Seed uint64
}

// Defaults of a deployment. The stand-in engines are fast, so that first trials are short.
const (
	// DefaultFirstToken is the time to the first token of an idle engine.
	DefaultFirstToken = 20 * time.Millisecond
	// DefaultTokenGap is the time between tokens of an idle engine.
	DefaultTokenGap = 2 * time.Millisecond
	// DefaultTokens is the number of tokens of an answer.
	DefaultTokens = 16
	// DefaultAddressTTL is how long callers may cache a list of addresses.
	DefaultAddressTTL = time.Second
)

const (
	batchLimit = 16
	loadLag    = 500 * time.Millisecond
	listLag    = 500 * time.Millisecond
	// The platform is specified to take several hundred writes and about two thousand reads a second.
	writesPerSecond = 400
	readsPerSecond  = 2000
	ratingNoise     = 0.1
	freePort        = "127.0.0.1:0"
)
