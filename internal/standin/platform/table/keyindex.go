package table

import (
	"iter"
	"slices"
	"sort"
)

// maxChunk is the maximum number of keys in a chunk. It bounds the keys that one
// insertion moves.
const maxChunk = 512

// keyIndex holds keys in order, as a list of sorted, non-empty chunks. An insertion
// moves at most maxChunk keys and the chunk headers.
type keyIndex struct {
	chunks [][]string
}

// chunkOf returns the index of the chunk where key is or belongs.
func (x *keyIndex) chunkOf(key string) int {
	after := sort.Search(len(x.chunks), func(i int) bool { return x.chunks[i][0] > key })
	return max(after-1, 0)
}

// insert adds a key that is not present.
func (x *keyIndex) insert(key string) {
	if len(x.chunks) == 0 {
		x.chunks = append(x.chunks, []string{key})
		return
	}
	i := x.chunkOf(key)
	at, _ := slices.BinarySearch(x.chunks[i], key)
	x.chunks[i] = slices.Insert(x.chunks[i], at, key)
	if len(x.chunks[i]) > maxChunk {
		x.split(i)
	}
}

// split divides a chunk into two halves.
func (x *keyIndex) split(i int) {
	chunk := x.chunks[i]
	half := len(chunk) / 2
	upper := slices.Clone(chunk[half:])
	x.chunks[i] = slices.Clip(chunk[:half])
	x.chunks = slices.Insert(x.chunks, i+1, upper)
}

// remove deletes a key that is present.
func (x *keyIndex) remove(key string) {
	i := x.chunkOf(key)
	at, _ := slices.BinarySearch(x.chunks[i], key)
	x.chunks[i] = slices.Delete(x.chunks[i], at, at+1)
	if len(x.chunks[i]) == 0 {
		x.chunks = slices.Delete(x.chunks, i, i+1)
	}
}

// from yields the keys that are at least first and greater than after, in order.
func (x *keyIndex) from(first, after string) iter.Seq[string] {
	start := max(first, after)
	return func(yield func(string) bool) {
		if len(x.chunks) == 0 {
			return
		}
		for i := x.chunkOf(start); i < len(x.chunks); i++ {
			at, _ := slices.BinarySearch(x.chunks[i], start)
			for _, key := range x.chunks[i][at:] {
				if after != "" && key == after {
					continue
				}
				if !yield(key) {
					return
				}
			}
		}
	}
}
