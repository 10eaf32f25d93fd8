// Package pace limits the rate of one writer, so that all writers together stay within
// their shared budget. Callers pass in the time; the package reads no clock.
package pace
