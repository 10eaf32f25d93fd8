package route

import (
	"testing"

	"github.com/matryer/is"
)

func table() *Table {
	return New(3, Limits{}, []Route{
		{Name: "root", Host: "a.example", Prefix: "/"},
		{Name: "deep", Host: "a.example", Prefix: "/x/y/"},
		{Name: "x", Host: "A.Example", Prefix: "/x/"},
		{Name: "other", Host: "b.example", Prefix: "/x/"},
	}, []Service{{Name: "s2"}, {Name: "s1"}}, []Organisation{{Name: "org", Keys: []string{"k1", "k2"}}})
}

func TestLongestPrefixWins(t *testing.T) {
	tests := []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "deep"},
		{"a.example", "/x/y", "x"},
		{"a.example", "/x", "root"},
		{"a.example", "/x/../x/y/", "x"}, // paths are taken as they are
		{"a.example", "/%78/y/", "root"},
		{"A.EXAMPLE:8080", "/x/y/", "deep"},
		{"b.example", "/x/1", "other"},
		{"b.example", "/y", ""},
		{"c.example", "/x/", ""},
		{"", "/x/", ""},
	}
	for _, test := range tests {
		got := ""
		if r := table().Match(test.host, test.path); r != nil {
			got = r.Name
		}
		if got != test.want {
			t.Errorf("%s%s: %q, want %q", test.host, test.path, got, test.want)
		}
	}
}

func TestKeysAndServices(t *testing.T) {
	is := is.New(t)
	tab := table()
	is.True(tab.Keyed)
	is.Equal(tab.Holder("k2").Name, "org")
	is.Equal(tab.Holder(""), nil)
	is.Equal(tab.Holder("k3"), nil)
	is.True(tab.Service("s1") != nil)
	is.Equal(tab.Service("s3"), nil)
}

func TestWhatMayBeRepeated(t *testing.T) {
	is := is.New(t)
	is.True(!(&Route{Kind: Once}).Repeatable())
	is.True((&Route{Kind: Idempotent}).Repeatable())
	is.True(!(&Route{Kind: Stream}).Repeatable())
	is.True((&Route{Kind: Stream, Resumable: true}).Repeatable())
}
