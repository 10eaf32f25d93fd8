package canary

import (
	"math"
	"time"
)

// Measure is a delay of an attempt that is compared between versions.
type Measure int

const (
	// Wait is the time until the answer begins, relative to the attempt's work.
	Wait Measure = iota
	// Pace is the mean pause between the events of a stream, or the time in which the body of
	// another answer arrives.
	Pace

	measures
)

// String returns the measure's name in logs.
func (m Measure) String() string {
	if m == Pace {
		return "pace"
	}
	return "wait"
}

const (
	// delayGrades is the number of grades of a delay. A grade spans an octave: the first one
	// holds delays below half of the usual one, the last those of eight times or more.
	delayGrades = 6
	// usualGrade is the grade of delays from half of the usual one to the usual one.
	usualGrade = 1
	// slowGrade is the lowest grade of delays that count as slow: twice the usual one.
	slowGrade = usualGrade + 2
)

// DelayCounts counts delays by grade.
type DelayCounts [delayGrades]int64

// DelayCount counts one measure of a route's answers by grade. Unfinished counts the new
// version's attempts without an answer by the grade that they had reached, when they were cut
// off or up to now.
type DelayCount struct{ New, Base, Unfinished DelayCounts }

// grade returns the grade of a delay. noticeable is the difference that callers begin to
// notice: it keeps small differences between short delays from counting.
func grade(delay, usual, noticeable time.Duration) int {
	octaves := math.Log2(float64(delay+noticeable) / float64(usual+noticeable))
	return min(max(int(math.Floor(octaves))+usualGrade+1, 0), delayGrades-1)
}

func (c *DelayCounts) add(other *DelayCounts) {
	for i, n := range other {
		c[i] += n
	}
}

// since returns the counts that came after earlier ones.
func (c DelayCounts) since(earlier DelayCounts) (added [delayGrades]float64) {
	for i, n := range c {
		added[i] = float64(max(n-earlier[i], 0))
	}
	return added
}

// total returns the number of counted delays.
func (c DelayCounts) total() (n int64) {
	for _, of := range c {
		n += of
	}
	return n
}

// slow returns the number of delays that are slow.
func (c DelayCounts) slow() (n int64) {
	for _, of := range c[slowGrade:] {
		n += of
	}
	return n
}
