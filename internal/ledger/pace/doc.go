// Package pace spaces the writes of one writer, so that all writers together
// stay within their budget. It has no clock.
package pace
