package setting

import "strconv"

// Count is a setting that is a whole number.
type Count struct {
	text  string
	value int64
	err   error
}

// UnmarshalFlag keeps the text; a wrong one is told by [Check].
func (c *Count) UnmarshalFlag(text string) error {
	c.text = text
	c.value, c.err = strconv.ParseInt(text, 10, 64)
	return nil
}

// Get returns the number, once checked.
func (c Count) Get() int { return int(c.value) }

// Uint64 returns the number, once checked not to be negative.
func (c Count) Uint64() uint64 { return uint64(c.value) }

// Given says whether the setting was given, or has a default.
func (c Count) Given() bool { return c.text != "" }

func (c Count) given() string { return c.text }

func (c Count) within(least, most string) bool {
	return c.err == nil && c.value >= mustInt(least) && c.value <= mustInt(most)
}

func mustInt(text string) int64 {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		panic(err) // a tag is wrong
	}
	return n
}

// Number is a setting that is a real number.
type Number struct {
	text  string
	value float64
	err   error
}

// UnmarshalFlag keeps the text; a wrong one is told by [Check].
func (n *Number) UnmarshalFlag(text string) error {
	n.text = text
	n.value, n.err = strconv.ParseFloat(text, 64)
	return nil
}

// Get returns the number, once checked.
func (n Number) Get() float64 { return n.value }

func (n Number) given() string { return n.text }

// within is false for NaN.
func (n Number) within(least, most string) bool {
	return n.err == nil && n.value >= mustFloat(least) && n.value <= mustFloat(most)
}

func mustFloat(text string) float64 {
	x, err := strconv.ParseFloat(text, 64)
	if err != nil {
		panic(err) // a tag is wrong
	}
	return x
}
