// Package seal encodes small values as signed tokens that callers store and send back,
// so that any node can verify them and none has to store them. Tokens are not encrypted.
package seal
