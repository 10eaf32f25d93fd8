// Package setting checks all settings of a command together. Settings keep any text that is given
// until all are parsed. [Check] then reports every fault with its flag, environment variable, value
// and accepted values.
package setting
