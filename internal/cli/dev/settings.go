package dev

import "time"

// Settings are what a deployment is run with.
type Settings struct {
	// Deployment is the name of an example deployment.
	Deployment string
	// Listen is the IP and port of the first entry node; the others take free
	// ports of the same IP.
	Listen string
	// AdminListen is the same for operators.
	AdminListen string
	// Entries is how many entry nodes run; 0 means as many as the deployment
	// has.
	Entries int
	// FirstToken, TokenGap and Tokens are of the stand-in engines.
	FirstToken time.Duration
	TokenGap   time.Duration
	Tokens     int
	// AddressTTL is how long callers may keep an address answer, which is also
	// the least that a stop takes.
	AddressTTL time.Duration
	Seed       uint64
}

// The defaults of the stand-in engines: quick, so that a newcomer need not
// wait.
const (
	DefaultFirstToken = 20 * time.Millisecond
	DefaultTokenGap   = 2 * time.Millisecond
	DefaultTokens     = 16
	DefaultAddressTTL = time.Second
)

const (
	batchLimit = 16
	loadLag    = 500 * time.Millisecond
	listLag    = 500 * time.Millisecond
	// The platform of the brief: several hundred writes and about two
	// thousand reads a second.
	writesPerSecond = 400
	readsPerSecond  = 2000
	ratingNoise     = 0.1
	freePort        = "127.0.0.1:0"
)
