package load

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func mixOfTwo() *Mix {
	return &Mix{Name: "two", Work: []Work{
		{Class: "often", Weight: 3, Model: "m"},
		{Class: "seldom", Weight: 1, Service: "s", Method: "GET", Path: "/x/"},
	}}
}

func allJobs(s *Schedule) []Job {
	var jobs []Job
	for {
		job, ok := s.Next()
		if !ok {
			return jobs
		}
		jobs = append(jobs, job)
	}
}

func TestScheduleKeepsRateMixAndLanes(t *testing.T) {
	for _, arrivals := range []Arrivals{Poisson, Constant} {
		is := is.New(t)
		jobs := allJobs(NewSchedule(mixOfTwo(), arrivals, 1000, 20*time.Second, 2, 7))
		near := func(got int, want float64) { is.True(math.Abs(float64(got)-want) < 5*math.Sqrt(want)) }
		near(len(jobs), 20_000)
		often, first := 0, 0
		for i, j := range jobs {
			is.Equal(j.Seq, i)
			is.True(i == 0 || j.At >= jobs[i-1].At)
			if j.Work.Class == "often" {
				often++
			}
			first += 1 - j.Lane
		}
		near(often, 15_000)
		near(first, 10_000)
	}
}

func TestSameSeedGivesSameJobs(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		m := mixOfTwo()
		a := allJobs(NewSchedule(m, Poisson, 100, time.Second, 2, seed))
		b := allJobs(NewSchedule(m, Poisson, 100, time.Second, 2, seed))
		if len(a) != len(b) {
			rt.Fatal(len(a), len(b))
		}
		for i := range a {
			if a[i] != b[i] {
				rt.Fatal(a[i], b[i])
			}
		}
	})
}

func TestDeploymentMixesHaveAllClasses(t *testing.T) {
	for _, name := range []string{"tarifas", "sahel"} {
		is := is.New(t)
		m, err := DeploymentMix(name)
		is.NoErr(err)
		classes := map[string]float64{}
		sum := 0.0
		for _, w := range m.Work {
			classes[w.Class] += w.Weight
			sum += w.Weight
		}
		is.True(len(classes) >= 4)
		heavy := classes["draft"] + classes["assessment"]
		is.True(math.Abs(heavy/sum-shareHeavyChat) < 1e-9) // 20% are heavy
	}
	_, err := DeploymentMix("nowhere")
	is.New(t).True(err != nil)
}

func TestInvalidMixIsRefused(t *testing.T) {
	good := `{"name":"x","work":[{"organisation":"o","key":"k","class":"c","weight":1,"model":"m"}]}`
	_, err := ParseMix([]byte(good))
	is.New(t).NoErr(err)
	for _, text := range []string{
		``, `{}`, `{"work":[]}`, `{"wrok":[]}`,
		`{"work":[{"class":"c","weight":0,"model":"m"}]}`,
		`{"work":[{"weight":1,"model":"m"}]}`,
		`{"work":[{"class":"c","weight":1}]}`,
		`{"work":[{"class":"c","weight":1,"model":"m","service":"s"}]}`,
		`{"work":[{"class":"c","weight":1,"model":"m","max_tokens":-1}]}`,
	} {
		_, err := ParseMix([]byte(text))
		is.New(t).True(err != nil)
	}
}

// Addresses are used round robin until their TTL ends. Dropped addresses are not used
// again.
func TestAddressCacheExpiresAfterTTL(t *testing.T) {
	is := is.New(t)
	var b AddressCache
	_, ok := b.Pick(0)
	is.True(!ok) // no list was set yet
	b.Set([]string{"a", "b"}, 10*time.Second, time.Second)
	is.Equal(b.RefreshAt(), 9*time.Second)
	seen := map[string]int{}
	for range 10 {
		addr, ok := b.Pick(10 * time.Second)
		is.True(ok)
		seen[addr]++
	}
	is.Equal(seen["a"], 5)
	b.Drop("a")
	addr, ok := b.Pick(10 * time.Second)
	is.True(ok)
	is.Equal(addr, "b")
	_, ok = b.Pick(11 * time.Second)
	is.True(!ok) // the list has expired
	b.Drop("b")
	_, ok = b.Pick(2 * time.Second)
	is.True(!ok) // no address is left
}

func TestCheckDetectsForeignAndPartialAnswers(t *testing.T) {
	prompt := "Hello."
	const digest = "2d8bd7d9bb5f85ba" // the start of the SHA-256 sum of it
	cases := []struct {
		answer string
		pieces int
		want   Check
	}{
		{"[dues@1 " + digest + " attempt] t2 t3 ", 3, Whole},
		{"[dues@1 " + digest + " attempt] ", 1, Whole},
		{"[dues@1 0000000000000000 attempt] t2 t3 ", 3, Foreign},
		{"[dues@1 " + digest + " attempt] t2 ", 3, Partial},
		{"[dues@1 " + digest + " attempt] t2 t2 t3 ", 4, Partial},
		{"[dues@1 " + digest + " attempt] t3 t2 ", 3, Partial},
		{"t2 t3 ", 3, Partial},
		{"", 0, Partial},
	}
	for _, c := range cases {
		is.New(t).Equal(checkText(prompt, c.answer, c.pieces), c.want)
	}
	is.New(t).Equal(checkCall("/a", "/b"), Foreign)
}
