// Package config holds the changing configuration of the router: the
// organisations, models, versions, services, classes, presets and roll-outs
// that operators edit through the administration API.
//
// A [Document] is what operators write. [Parse] reads one strictly and
// [Document.Validate] names every fault by its field path. [Compile] turns a
// valid document into a [Snapshot], which is immutable and shared by all
// goroutines; a change swaps the whole snapshot.
//
// Static settings of a process (addresses, keys, limits) are not here: they
// come from flags and environment variables.
package config
