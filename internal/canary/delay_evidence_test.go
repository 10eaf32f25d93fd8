package canary

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Fails if a version is doubted for requests that end without an answer on the old version too.
func TestUnfinishedAttemptsOfARouteWithoutAnswersAreNoEvidence(t *testing.T) {
	is := is.New(t)
	var e delayEvidence
	var c DelayCount
	c.Unfinished[delayGrades-1] = 5
	e.add(c, time.Unix(1000, 0))
	is.True(!e.doubts(0))
	c.Base[usualGrade] = 5 // the old version answers
	e.add(c, time.Unix(1001, 0))
	is.True(e.doubts(0))
}
