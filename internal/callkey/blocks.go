package callkey

import (
	"container/list"
	"encoding/binary"
	"hash/fnv"
	"strconv"
	"time"
)

// Limits of the blocked keys.
const (
	// BlockTTL is the time for which a key stays blocked. A first attempt arrives within MaxTransit after it was sent, and its retry is
	// granted within front.MaxCallTime = 10 s after the block; the rest is a margin.
	BlockTTL = 30 * time.Second
	// MaxBlocks is the maximum number of blocked keys of a host; the list of them then fits into one message of 1 MB.
	MaxBlocks = 40_000
)

// blockSet holds the keys whose first attempts are blocked because a retry was granted or another failure domain took the call over.
// Every member of the view has blocked a key before its retry runs. Only hashes are stored: if two keys have the same hash, a first
// attempt that could run is refused, for which the outcome NotRun is still correct. It is not safe for concurrent use.
type blockSet struct {
	byHash map[uint64]*list.Element
	order  *list.List // of block, oldest first
}

type block struct {
	hash      uint64
	blockedAt time.Time
}

func newBlockSet() blockSet { return blockSet{byHash: map[uint64]*list.Element{}, order: list.New()} }

func keyHash(team, key string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(binary.AppendUvarint(nil, uint64(len(team))))
	_, _ = h.Write([]byte(team))
	_, _ = h.Write([]byte(key))
	return h.Sum64()
}

// add blocks a key from now on, or again for BlockTTL if it is blocked. It reports false when MaxBlocks keys are blocked already.
func (b *blockSet) add(now time.Time, hash uint64) bool {
	b.expire(now)
	if e := b.byHash[hash]; e != nil {
		b.order.Remove(e)
	} else if b.order.Len() >= MaxBlocks {
		return false
	}
	b.byHash[hash] = b.order.PushBack(block{hash, now})
	return true
}

func (b *blockSet) has(now time.Time, hash uint64) bool {
	b.expire(now)
	return b.byHash[hash] != nil
}

func (b *blockSet) expire(now time.Time) {
	for e := b.order.Front(); e != nil && now.Sub(e.Value.(block).blockedAt) > BlockTTL; e = b.order.Front() {
		b.order.Remove(e)
		delete(b.byHash, e.Value.(block).hash)
	}
}

// hashes returns the hashes of the blocked keys in hexadecimal.
func (b *blockSet) hashes(now time.Time) []string {
	b.expire(now)
	out := make([]string, 0, b.order.Len())
	for e := b.order.Front(); e != nil; e = e.Next() {
		out = append(out, formatHash(e.Value.(block).hash))
	}
	return out
}

func formatHash(hash uint64) string { return strconv.FormatUint(hash, 16) }

func parseHash(s string) (uint64, bool) {
	hash, err := strconv.ParseUint(s, 16, 64)
	return hash, err == nil
}
