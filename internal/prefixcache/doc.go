// Package prefixcache estimates what upstreams keep of the prompts that they read, without I/O.
//
// A [Table] records uses of prefix blocks, [Pressure] says how long an upstream keeps a block
// after its last use, and [Demand] how many upstreams hold a block.
package prefixcache
