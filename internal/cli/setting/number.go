package setting

import "strconv"

// Count is a setting with a 64-bit integer value.
type Count struct {
	text  string
	value int64
	err   error
}

// UnmarshalFlag implements flags.Unmarshaler. It never fails: [Check] reports invalid text.
func (c *Count) UnmarshalFlag(text string) error {
	c.text = text
	c.value, c.err = strconv.ParseInt(text, 10, 64)
	return nil
}

// Get returns the number. It is valid only after [Check] has found no fault.
func (c Count) Get() int { return int(c.value) }

// Uint64 returns the number. It is valid only after [Check], for a range without negative numbers.
func (c Count) Uint64() uint64 { return uint64(c.value) }

// Given reports whether the setting was given or has a default.
func (c Count) Given() bool { return c.text != "" }

func (c Count) given() string { return c.text }

func (c Count) within(lower, upper string) bool {
	return c.err == nil && c.value >= mustInt(lower) && c.value <= mustInt(upper)
}

func mustInt(text string) int64 {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		panic(err) // the accept tag is invalid
	}
	return n
}

// Number is a setting with a float64 value.
type Number struct {
	text  string
	value float64
	err   error
}

// UnmarshalFlag implements flags.Unmarshaler. It never fails: [Check] reports invalid text.
func (n *Number) UnmarshalFlag(text string) error {
	n.text = text
	n.value, n.err = strconv.ParseFloat(text, 64)
	return nil
}

// Get returns the number. It is valid only after [Check] has found no fault.
func (n Number) Get() float64 { return n.value }

func (n Number) given() string { return n.text }

// within returns false for NaN.
func (n Number) within(lower, upper string) bool {
	return n.err == nil && n.value >= mustFloat(lower) && n.value <= mustFloat(upper)
}

func mustFloat(text string) float64 {
	x, err := strconv.ParseFloat(text, 64)
	if err != nil {
		panic(err) // the accept tag is invalid
	}
	return x
}
