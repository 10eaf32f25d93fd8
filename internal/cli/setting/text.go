package setting

import (
	"encoding/hex"
	"net/netip"
	"net/url"
	"slices"
	"strings"

	"github.com/hickorybank/hickorybank/internal/config"
)

// secretBytes is the minimum length of a secret.
const secretBytes = 32

// textFormat is the format of a text setting: its description for faults and its check.
type textFormat struct {
	accepted string
	matches  func(text string) bool
}

// textFormats maps the values of accept tags for texts to their formats.
var textFormats = map[string]textFormat{
	"address": {"an IP and port, for example 127.0.0.1:8080", isAddress},
	"ip":      {"an IP, for example 10.0.0.7", isIP},
	"url":     {"a base URL, for example http://127.0.0.1:8070", isURL},
	"name":    {"1 to 64 letters, digits and . _ - @ + :", config.IsName},
	"keyhash": {"[NAME=]HASH, the SHA-256 sum of a key in 64 hexadecimal digits", isKeyHash},
	"secret":  {"at least 64 hexadecimal digits (32 bytes)", isSecret},
	"text":    {"any text", func(string) bool { return true }},
}

const choicePrefix = "one of "

func formatOf(accept string) textFormat {
	if list, ok := strings.CutPrefix(accept, choicePrefix); ok {
		choices := strings.Split(list, ", ")
		return textFormat{accept, func(text string) bool { return slices.Contains(choices, text) }}
	}
	f, ok := textFormats[accept]
	if !ok {
		panic("unknown accept tag: " + accept)
	}
	return f
}

func isAddress(text string) bool {
	_, err := netip.ParseAddrPort(text)
	return err == nil
}

func isIP(text string) bool {
	_, err := netip.ParseAddr(text)
	return err == nil
}

func isURL(text string) bool {
	u, err := url.Parse(text)
	return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != "" && u.RawQuery == "" && u.Fragment == ""
}

func isKeyHash(text string) bool {
	if _, hash, named := strings.Cut(text, "="); named {
		text = hash
	}
	raw, err := hex.DecodeString(text)
	return err == nil && len(raw) == config.KeyHashBytes
}

func isSecret(text string) bool {
	raw, err := hex.DecodeString(text)
	return err == nil && len(raw) >= secretBytes
}
