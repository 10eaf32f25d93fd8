package rating

import (
	"math"
	"testing"

	"github.com/matryer/is"
)

func TestScoresFollowConfiguredQuality(t *testing.T) {
	is := is.New(t)
	r := New(7, 0.1, 0.8)
	r.Set(Quality{Version: "good", Quality: 0.6})
	r.Set(Quality{Version: "good", Class: "draft", Quality: 0.4})
	is.Equal(r.Quality("other", "draft"), 0.8)
	is.Equal(r.Quality("good", "tag"), 0.6)
	is.Equal(r.Quality("good", "draft"), 0.4)

	mean, deviation := sample(r, "good", "draft", 10_000)
	is.True(math.Abs(mean-0.4) < 0.01)
	is.True(math.Abs(deviation-0.1) < 0.01)

	r.Set(Quality{Version: "good", Quality: 0.1})
	is.Equal(r.Quality("good", "draft"), 0.1)
}

// Ratings of one version must not change the scores of another. Otherwise runs that
// differ only in extra ratings could not be compared.
func TestScoresOfVersionsAreIndependent(t *testing.T) {
	is := is.New(t)
	alone, interleaved := New(7, 0.1, 0.5), New(7, 0.1, 0.5)
	other := New(8, 0.1, 0.5)
	var differs bool
	for range 100 {
		interleaved.Score("w", "draft")
		interleaved.Score("v", "tag")
		score := alone.Score("v", "draft")
		is.Equal(score, interleaved.Score("v", "draft"))
		differs = differs || score != other.Score("v", "draft")
	}
	is.True(differs)
}

func TestScoresStayInRange(t *testing.T) {
	is := is.New(t)
	r := New(1, 5, 0.5)
	for range 1000 {
		score := r.Score("v", "c")
		is.True(score >= 0)
		is.True(score <= 1)
	}
}

func TestQualityValidate(t *testing.T) {
	is := is.New(t)
	is.NoErr(Quality{Version: "v", Quality: 1}.Validate())
	is.True(Quality{Quality: 1}.Validate() != nil)
	is.True(Quality{Version: "v", Quality: math.NaN()}.Validate() != nil)
	is.True(Quality{Version: "v", Quality: 1.1}.Validate() != nil)
}

func sample(r *Rater, version, class string, n int) (mean, deviation float64) {
	var sum, squares float64
	for range n {
		s := r.Score(version, class)
		sum += s
		squares += s * s
	}
	mean = sum / float64(n)
	return mean, math.Sqrt(squares/float64(n) - mean*mean)
}
