package crashguard

import "github.com/cespare/xxhash/v2"

// Key identifies what may crash upstreams: a part that prompts share, or one request.
type Key uint64

// PartKey returns the key of a part of prompts by its ID. A part is the same for all
// organisations, routes and models, since the rest of a request does not matter to a crash.
func PartKey(id string) Key { return Key(xxhash.Sum64String("part\x00" + id)) }

// RequestKey returns the key of requests with the same organisation, target and body. Requests that
// share a key acquit each other, so target covers all that an upstream gets beside the body, the
// query included. Their IDs do not matter.
func RequestKey(organisation, target string, body []byte) Key {
	d := xxhash.New()
	_, _ = d.WriteString(organisation) // hash writes never fail
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(target)
	_, _ = d.WriteString("\x00")
	_, _ = d.Write(body)
	return Key(d.Sum64())
}

// Chain is the keys of one request: the parts that other requests may share, in the order of
// the prompt, and last the request itself. Each key is the parent of the next.
type Chain []Key

// Request returns the key of the request itself as a chain.
func (c Chain) Request() Chain { return c[max(len(c)-1, 0):] }

// Parts returns the keys that other requests may share.
func (c Chain) Parts() Chain { return c[:max(len(c)-1, 0)] }

// CrashID identifies a crash by the incarnation of the upstream, which crashes once.
type CrashID uint64

// NewCrashID returns the ID of the crash of one incarnation of an upstream.
func NewCrashID(incarnation string) CrashID { return CrashID(xxhash.Sum64String(incarnation)) }
