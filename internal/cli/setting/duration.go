package setting

import "time"

// Duration is a setting such as 500ms or 2s.
type Duration struct {
	text  string
	value time.Duration
	err   error
}

// UnmarshalFlag keeps the text; a wrong one is told by [Check].
func (d *Duration) UnmarshalFlag(text string) error {
	d.text = text
	d.value, d.err = time.ParseDuration(text)
	return nil
}

// Get returns the duration, once checked.
func (d Duration) Get() time.Duration { return d.value }

func (d Duration) given() string { return d.text }

func (d Duration) within(least, most string) bool {
	from, err := time.ParseDuration(least)
	if err != nil {
		panic(err) // a tag is wrong
	}
	to, err := time.ParseDuration(most)
	if err != nil {
		panic(err) // a tag is wrong
	}
	return d.err == nil && d.value >= from && d.value <= to
}
