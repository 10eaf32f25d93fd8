// Package config defines the router's dynamic configuration: the organisations, models, versions,
// services, classes, presets and rollouts that operators edit through the administration API.
//
// Operators write a [Document]. [Parse] reads one strictly, and [Document.Validate] reports every
// fault with its field path. [Compile] turns a valid document into a [Snapshot], which is immutable
// and shared by all goroutines. A change replaces the whole snapshot.
//
// Static settings of a process (addresses, keys, limits) come from flags and environment variables
// instead.
package config
