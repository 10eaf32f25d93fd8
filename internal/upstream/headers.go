package upstream

// HeaderRateLimit names, in any answer of an upstream in need, the requests a second that it
// takes from all nodes together for as long as its answers name it.
const HeaderRateLimit = "X-Rate-Limit-Per-Second"
