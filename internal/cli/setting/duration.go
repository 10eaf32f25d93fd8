package setting

import "time"

// Duration is a setting in the form of [time.ParseDuration], such as 500ms or 2s.
type Duration struct {
	text  string
	value time.Duration
	err   error
}

// UnmarshalFlag implements flags.Unmarshaler. It never fails: [Check] reports invalid text.
func (d *Duration) UnmarshalFlag(text string) error {
	d.text = text
	d.value, d.err = time.ParseDuration(text)
	return nil
}

// Get returns the duration. It is valid only after [Check] has found no fault.
func (d Duration) Get() time.Duration { return d.value }

func (d Duration) given() string { return d.text }

func (d Duration) within(lower, upper string) bool {
	from, err := time.ParseDuration(lower)
	if err != nil {
		panic(err) // the accept tag is invalid
	}
	to, err := time.ParseDuration(upper)
	if err != nil {
		panic(err) // the accept tag is invalid
	}
	return d.err == nil && d.value >= from && d.value <= to
}
