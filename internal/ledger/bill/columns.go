package bill

import (
	"encoding/binary"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
)

// Columns are bills as gob carries them, between nodes and in rows: a column
// for each field, with the strings that repeat in a table. A bill takes about
// 30 bytes so, and five to ten times as much in JSON.
type Columns struct {
	// Names is what Orgs, Classes, Versions and Services count through.
	Names    []string
	Orgs     []uint
	Classes  []uint
	Versions []uint
	Services []uint
	// IDs are 16 bytes for each key that is a UUID in lower case; the others
	// stand in Keys. Opaque says which are which.
	IDs    []byte
	Keys   []string
	Opaque []bool
	// Digests are 8 bytes for each bill, or none if no bill has one.
	Digests []byte
	Costs   []int64
	In      []int64
	Out     []int64
	Base    int64 // milliseconds since 1970
	After   []int64
}

const (
	uuidSize   = len(uuid.UUID{})
	digestSize = 8
)

// errColumns says that the columns do not fit each other.
var errColumns = eris.New("malformed bills")

// Pack returns the bills in columns. Times are cut to milliseconds.
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
	c.Orgs = append(c.Orgs, c.name(b.Org, names))
	c.Classes = append(c.Classes, c.name(b.Class, names))
	c.Versions = append(c.Versions, c.name(b.Version, names))
	c.Services = append(c.Services, c.name(b.Service, names))
	c.addKey(b.Key)
	c.addDigest(b.Digest)
	c.Costs = append(c.Costs, b.Cost)
	c.In = append(c.In, b.InputTokens)
	c.Out = append(c.Out, b.OutputTokens)
	c.After = append(c.After, b.At.UnixMilli()-c.Base)
}

func (c *Columns) name(s string, names map[string]uint) uint {
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

// Len is the number of bills.
func (c *Columns) Len() int { return len(c.Orgs) }

// Unpack returns the bills, or an error when the columns do not fit.
func (c *Columns) Unpack() ([]Bill, error) {
	if !c.consistent() {
		return nil, errColumns
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
		if len(column) != n || !within(column, len(c.Names)) {
			return false
		}
	}
	for _, column := range [][]int64{c.Costs, c.In, c.Out, c.After} {
		if len(column) != n {
			return false
		}
	}
	digests := len(c.Digests) == 0 || len(c.Digests) == n*digestSize
	return len(c.Opaque) == n && digests && c.keysFit()
}

func (c *Columns) keysFit() bool {
	opaque := 0
	for _, o := range c.Opaque {
		if o {
			opaque++
		}
	}
	return len(c.Keys) == opaque && len(c.IDs) == (len(c.Opaque)-opaque)*uuidSize
}

func within(column []uint, names int) bool {
	for _, n := range column {
		if n >= uint(names) {
			return false
		}
	}
	return true
}
