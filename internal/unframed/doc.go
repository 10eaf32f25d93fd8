// Package unframed keeps answers that end with their connection from looking complete when they are
// broken off.
package unframed
