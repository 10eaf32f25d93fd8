package config

import (
	"encoding/json"
	"reflect"
	"strconv"
)

// scalarFits returns what a field of type t accepts, in words, and whether the token fits.
func scalarFits(t reflect.Type, token json.Token) (wanted string, fits bool) {
	switch t.Kind() {
	case reflect.String:
		_, fits = token.(string)
		return "text", fits
	case reflect.Bool:
		_, fits = token.(bool)
		return "true or false", fits
	case reflect.Int, reflect.Int64:
		return "a whole number of 64 bits", wholeNumber(token)
	case reflect.Float64:
		return "a number", realNumber(token)
	default:
		panic("configuration field of unexpected type " + t.String())
	}
}

func wholeNumber(token json.Token) bool {
	number, ok := token.(json.Number)
	if !ok {
		return false
	}
	_, err := strconv.ParseInt(number.String(), 10, 64)
	return err == nil
}

// realNumber rejects numbers that overflow a float64, such as 1e999.
func realNumber(token json.Token) bool {
	number, ok := token.(json.Number)
	if !ok {
		return false
	}
	_, err := strconv.ParseFloat(number.String(), 64)
	return err == nil
}

func describe(token json.Token) string {
	switch v := token.(type) {
	case nil:
		return "null"
	case json.Delim:
		if v == '{' {
			return "an object"
		}
		return "a list"
	case string:
		return strconv.Quote(truncate(v))
	case json.Number:
		return truncate(v.String())
	case bool:
		return strconv.FormatBool(v)
	default:
		return "something else"
	}
}

// truncate limits how much of a document's text a fault repeats.
func truncate(s string) string {
	const maxRunes = 40
	runes := []rune(s)
	if len(runes) <= maxRunes {
		return s
	}
	return string(runes[:maxRunes]) + "..."
}
