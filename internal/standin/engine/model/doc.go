// Package model is the stand-in engine's policy without I/O: continuous
// batching with a limit, a queue by priority, a prefix cache in limited
// memory, lagging load reports, late cache events with gaps, and orders with
// fencing numbers. Time comes in as the duration since the engine's start;
// decisions come out as events. Nothing here sleeps, locks or draws from a
// global source, so that many engines run in virtual time.
//
// The model of time: requests in the batch share steps. A step takes
// StepBase + StepSlope × weight, where a request that produces tokens weighs
// 1 and one whose prompt is being read weighs [PrefillWeight]. Requests join
// and leave at the end of a step. The constants are chosen, not measured on
// any engine; docs/design/upstream-standin.md gives the reasons.
package model
