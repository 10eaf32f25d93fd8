// Package capacity works out what the system costs at the size that its users
// expect within two years.
//
// A [Probe] measures the real code of other packages at a few sizes, and a
// least-squares [Line] goes through its [Point]s. A [Model] puts the lines
// together: what each [Role] of an entry node takes of processor, memory and
// network, what it asks of the platform, and what becomes of that on bad days.
// [Render] writes all of it as the generated part of docs/CAPACITY.md, and
// [Parse] reads the measured points back, so that a test can hold the page
// against the model.
package capacity
