// Package streamtoken issues and verifies the signed tokens with which a caller resumes an
// interrupted stream through any entry node. The token names the engine and the attempt and
// holds the data that the bill needs, so nodes keep no state for the stream.
package streamtoken
