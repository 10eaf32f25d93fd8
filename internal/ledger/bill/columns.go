package bill

import (
	"encoding/binary"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
)

// Columns is the gob encoding of bills, in rows and in messages between nodes. It has
// one column per field, and a table for repeated strings. A bill takes about 30 bytes;
// JSON needs five to ten times as much.
type Columns struct {
	// Names are the strings that Orgs, Classes, Versions and Services index.
	Names    []string
	Orgs     []uint
	Classes  []uint
	Versions []uint
	Services []uint
	// IDs has 16 bytes for each key that is a lower-case UUID. Keys has the other keys.
	// Opaque is true for each bill whose key is in Keys.
	IDs    []byte
	Keys   []string
	Opaque []bool
	// Digests has 8 bytes for each bill, or is empty if no bill has a digest.
	Digests []byte
	Costs   []int64
	In      []int64 // input tokens
	Out     []int64 // output tokens
	Base    int64   // At of the first bill, in milliseconds since 1970
	After   []int64 // At minus Base, in milliseconds
}

const (
	uuidSize   = len(uuid.UUID{})
	digestSize = 8
)

// errMalformed means that the lengths or indexes of the columns are inconsistent.
var errMalformed = eris.New("malformed bills")

// Pack encodes bills as columns. Times are truncated to milliseconds.
func Pack(bills []Bill) Columns {
	var c Columns
	if len(bills) == 0 {
		return c
	}
	c.Base = bills[0].At.UnixMilli()
	names := map[string]uint{}
	for i := range bills {
		c.add(&bills[i], names)
	}
	return c
}

func (c *Columns) add(b *Bill, names map[string]uint) {
	c.Orgs = append(c.Orgs, c.nameIndex(b.Org, names))
	c.Classes = append(c.Classes, c.nameIndex(b.Class, names))
	c.Versions = append(c.Versions, c.nameIndex(b.Version, names))
	c.Services = append(c.Services, c.nameIndex(b.Service, names))
	c.addKey(b.Key)
	c.addDigest(b.Digest)
	c.Costs = append(c.Costs, b.Cost)
	c.In = append(c.In, b.InputTokens)
	c.Out = append(c.Out, b.OutputTokens)
	c.After = append(c.After, b.At.UnixMilli()-c.Base)
}

func (c *Columns) nameIndex(s string, names map[string]uint) uint {
	n, ok := names[s]
	if !ok {
		n = uint(len(c.Names))
		names[s] = n
		c.Names = append(c.Names, s)
	}
	return n
}

func (c *Columns) addKey(key string) {
	u, err := uuid.Parse(key)
	opaque := err != nil || u.String() != key
	c.Opaque = append(c.Opaque, opaque)
	if opaque {
		c.Keys = append(c.Keys, key)
		return
	}
	c.IDs = append(c.IDs, u[:]...)
}

func (c *Columns) addDigest(digest uint64) {
	if digest == 0 && len(c.Digests) == 0 {
		return
	}
	before := (len(c.Orgs) - 1) * digestSize
	c.Digests = append(c.Digests, make([]byte, before-len(c.Digests))...)
	c.Digests = binary.BigEndian.AppendUint64(c.Digests, digest)
}

func (c *Columns) digest(i int) uint64 {
	if len(c.Digests) == 0 {
		return 0
	}
	return binary.BigEndian.Uint64(c.Digests[i*digestSize:])
}

// Len returns the number of bills.
func (c *Columns) Len() int { return len(c.Orgs) }

// Unpack returns the bills. It returns an error if the columns are inconsistent.
func (c *Columns) Unpack() ([]Bill, error) {
	if !c.consistent() {
		return nil, errMalformed
	}
	bills := make([]Bill, c.Len())
	ids, keys := c.IDs, c.Keys
	for i := range bills {
		b := &bills[i]
		if c.Opaque[i] {
			b.Key, keys = keys[0], keys[1:]
		} else {
			b.Key, ids = uuid.UUID(ids[:uuidSize]).String(), ids[uuidSize:]
		}
		b.Org, b.Class = c.Names[c.Orgs[i]], c.Names[c.Classes[i]]
		b.Version, b.Service = c.Names[c.Versions[i]], c.Names[c.Services[i]]
		b.Cost, b.InputTokens, b.OutputTokens = c.Costs[i], c.In[i], c.Out[i]
		b.Digest = c.digest(i)
		b.At = time.UnixMilli(c.Base + c.After[i]).UTC()
	}
	return bills, nil
}

func (c *Columns) consistent() bool {
	n := c.Len()
	for _, column := range [][]uint{c.Orgs, c.Classes, c.Versions, c.Services} {
		if len(column) != n || !indexesValid(column, len(c.Names)) {
			return false
		}
	}
	for _, column := range [][]int64{c.Costs, c.In, c.Out, c.After} {
		if len(column) != n {
			return false
		}
	}
	digests := len(c.Digests) == 0 || len(c.Digests) == n*digestSize
	return len(c.Opaque) == n && digests && c.keysConsistent()
}

func (c *Columns) keysConsistent() bool {
	opaque := 0
	for _, o := range c.Opaque {
		if o {
			opaque++
		}
	}
	return len(c.Keys) == opaque && len(c.IDs) == (len(c.Opaque)-opaque)*uuidSize
}

func indexesValid(column []uint, names int) bool {
	for _, n := range column {
		if n >= uint(names) {
			return false
		}
	}
	return true
}
