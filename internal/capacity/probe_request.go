package capacity

import (
	"strconv"
	"time"

	"github.com/hickorybank/hickorybank/internal/lifecycle"
	"github.com/hickorybank/hickorybank/internal/seal"
	"github.com/hickorybank/hickorybank/internal/session"
	"github.com/hickorybank/hickorybank/internal/upstream"
)

func requestProbes() []Probe {
	return []Probe{
		{
			Slope: Slope{Name: "lifecycle.chat", What: "the decisions of a streamed request, without I/O", Per: "pieces of the answer", Unit: Nanoseconds},
			Sizes: []int{8, 64, 320, 1024}, QuickSizes: []int{8, 320}, Measure: measureChat,
		},
		{
			Slope: Slope{Name: "session.read", What: "a session token read and another one signed", Per: "keys that verify", Unit: Nanoseconds},
			Sizes: []int{1, 2, 4}, QuickSizes: []int{1, 4}, Measure: measureSession,
		},
	}
}

func measureChat(m Meter, pieces int) (float64, error) {
	id := 0
	return m.CPU(func(n int) {
		for range n {
			id++
			c := lifecycle.NewChat(lifecycle.ChatSettings{ID: strconv.Itoa(id), Versions: []string{versionName0}, Streaming: true, MaxAttempts: lifecycle.DefaultMaxAttempts})
			c.Begin()
			c.Picked("engine-00001")
			attempt := strconv.Itoa(id) + ".1"
			for i := 1; i < pieces; i++ {
				c.ChunkReceived(upstream.Chunk{Attempt: attempt, Seq: i, Text: "token"})
			}
			c.ChunkReceived(upstream.Chunk{Attempt: attempt, Seq: pieces, Done: true})
			c.BillDurable()
		}
	}), nil
}

func measureSession(m Meter, keys int) (float64, error) {
	list := make([][]byte, keys)
	for i := range list {
		list[i] = make([]byte, seal.MinKeyBytes)
		list[i][0] = byte(i)
	}
	sealer, err := seal.New(list...)
	if err != nil {
		return 0, err
	}
	// The token is signed with the oldest key.
	old, err := seal.New(list[keys-1])
	if err != nil {
		return 0, err
	}
	signer := session.NewSigner(sealer)
	token := session.Token{ID: "0198c3a1-7f00-7000-8000-000000000001", Org: orgName(0), Version: versionName0, Started: start.Unix()}
	text, err := session.NewSigner(old).Sign(token)
	if err != nil {
		return 0, err
	}
	return m.CPU(func(n int) {
		for range n {
			if _, failed := signer.Verify(text, orgName(0), start.Add(time.Minute)); failed != nil {
				err = failed
			}
			if _, failed := signer.Sign(token); failed != nil {
				err = failed
			}
		}
	}), err
}
