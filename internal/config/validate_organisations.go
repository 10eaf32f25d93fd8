package config

import (
	"encoding/hex"
	"fmt"
	"strings"
)

func (v *validator) organisations() {
	v.atMost("organisations", len(v.doc.Organisations), MaxOrganisations)
	names := map[string]bool{}
	keys := map[string]bool{}
	for i, o := range v.doc.Organisations {
		field := fmt.Sprintf("organisations[%d]", i)
		v.name(field+".name", o.Name)
		v.unique(field+".name", o.Name, names)
		v.organisation(field, o, keys)
	}
}

func (v *validator) organisation(field string, o Organisation, keys map[string]bool) {
	if !isFinite(o.Weight) || o.Weight <= 0 || o.Weight > MaxWeight {
		v.faults.add(field+".weight", fmt.Sprintf("%v is not above 0 and at most %v", o.Weight, MaxWeight))
	}
	if !isFinite(o.RatePerSecond) || o.RatePerSecond < 0 || o.RatePerSecond > MaxRatePerSecond {
		v.faults.add(field+".rate_per_second", fmt.Sprintf("%v is not between 0 and %v", o.RatePerSecond, MaxRatePerSecond))
	}
	v.atMost(field+".key_hashes", len(o.KeyHashes), MaxKeyHashes)
	for i, key := range o.KeyHashes {
		v.keyHash(fmt.Sprintf("%s.key_hashes[%d]", field, i), key, keys)
	}
	v.references(field+".versions", "version", o.Versions, v.versionNames)
	v.references(field+".services", "service", o.Services, v.serviceNames)
	v.targets(field+".targets", o.Targets)
}

func (v *validator) references(field, entity string, names []string, known map[string]bool) {
	seen := map[string]bool{}
	for i, name := range names {
		at := fmt.Sprintf("%s[%d]", field, i)
		v.exists(at, entity, name, known)
		v.unique(at, name, seen)
	}
}

func (v *validator) targets(field string, targets []Target) {
	seen := map[string]bool{}
	for i, t := range targets {
		at := fmt.Sprintf("%s[%d]", field, i)
		v.exists(at+".class", "class", t.Class, v.classes)
		v.unique(at+".class", t.Class, seen)
		v.unitInterval(at+".quality", t.Quality)
	}
}

// emptyKeyHash is rejected: it would authenticate a caller who sends "Bearer " and no key.
var emptyKeyHash = HashKey("")

// keyHash checks one key hash and rejects a key that occurs twice. Of two organisations with one
// key, the second would be billed for the requests of the first and see its sessions. Hashes are
// compared without regard to case.
func (v *validator) keyHash(field, key string, keys map[string]bool) {
	raw, err := hex.DecodeString(key)
	if err != nil || len(raw) != KeyHashBytes {
		v.faults.add(field, "is not a SHA-256 sum in hexadecimal")
		return
	}
	key = strings.ToLower(key)
	if key == emptyKeyHash {
		v.faults.add(field, "is the sum of an empty key")
	}
	if keys[key] {
		v.faults.add(field, "stands twice")
	}
	keys[key] = true
}
