// Package model simulates a model engine without I/O: continuous batching with a limit,
// a priority queue, a bounded prefix cache, lagging load reports, delayed cache events
// with gaps, and orders with fencing tokens. Callers pass the time as the duration
// since the engine's start and get the decisions as events. The package does not sleep,
// lock or use global random numbers, so many engines can run in virtual time.
//
// The requests in the batch share steps. A step takes StepBase + StepSlope × weight of
// the batch. A decoding request weighs 1, a request in prefill weighs [PrefillWeight].
// Requests join and leave the batch at the end of a step. The reasons for the constants
// are in docs/design/upstream-standin.md.
package model
