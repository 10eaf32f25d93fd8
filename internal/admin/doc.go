// Package admin is the operators' side: the stored configuration and its
// versioned administration API with compare-and-set revisions.
package admin
