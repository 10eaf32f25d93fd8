// Package capacity estimates the cost of running the system at the size that its users expect
// within two years.
//
// A [Probe] measures the real code of other packages at a few sizes, and a least-squares
// [Line] is fitted to its [Point]s. A [Model] combines the lines into the processor time,
// memory and network that each [Role] of an entry node needs, the load on the platform, and
// the effects of large failures. [Render] writes the results as the generated part of
// docs/CAPACITY.md. [Parse] reads the measured points back, so that a test can check the page
// against the model.
package capacity
