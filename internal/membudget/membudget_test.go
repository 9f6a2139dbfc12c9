package membudget

import (
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

const (
	testPart = 32 << 10
	testPool = 10 * granule
)

// holder is an account whose refusal is recorded.
type holder struct {
	*Account
	refusals int
}

func newHolder(b *Budget) *holder {
	h := &holder{}
	h.Account = b.NewAccount(func() { h.refusals++ })
	return h
}

func (h *holder) hold(granules int64, progress float64, began, now time.Duration) Result {
	result, _ := h.Hold(Request{Held: testPart + granules*granule, Progress: progress, Began: began, Now: now})
	return result
}

// Guards against a full pool that refuses small requests.
func TestSmallRequestsAreAlwaysAdmitted(t *testing.T) {
	b := New(testPart, testPool)
	must.Eq(t, Granted, newHolder(b).hold(10, 0, 0, 0))
	small := newHolder(b)
	must.Eq(t, Granted, small.hold(0, 0, 0, 0))
	must.True(t, small.Run())
	must.Eq(t, testPool, b.Taken())
}

// Guards against the refusal of another request than the one that is cheapest to refuse.
func TestRequestThatIsCheapestToRefuseGoesFirst(t *testing.T) {
	type request struct {
		granules int64
		progress float64
		began    time.Duration
		running  bool
	}
	for name, c := range map[string]struct {
		holds  []request // of the pool
		asks   request
		victim int // index in holds; -1 is the one that asks, -2 nobody
	}{
		"there is room":               {[]request{{9, 0, 0, false}}, request{1, 0, 0, false}, -2},
		"the largest":                 {[]request{{6, 0, 0, false}, {4, 0, 0, false}}, request{1, 0, 0, false}, 0},
		"the oldest":                  {[]request{{5, 0, 2 * time.Second, false}, {5, 0, 0, false}}, request{1, 0, 3 * time.Second, false}, 1},
		"the one with least progress": {[]request{{5, 0.1, 0, false}, {5, 0.8, 0, false}}, request{1, 0, 3 * time.Second, false}, 0},
		"almost complete and old":     {[]request{{5, 0.999, 0, false}, {5, 0, 2900 * time.Millisecond, false}}, request{1, 0, 3 * time.Second, false}, 0},
		"itself":                      {[]request{{1, 0, 2 * time.Second, false}}, request{10, 0, 2 * time.Second, false}, -1},
		"none that runs":              {[]request{{9, 0, 0, true}, {1, 0, 0, false}}, request{1, 0, 3 * time.Second, false}, 1},
		"all others run":              {[]request{{10, 0, 0, true}}, request{1, 0, 3 * time.Second, false}, -1},
		"one that runs asks":          {[]request{{10, 0, 3 * time.Second, false}}, request{1, 0, 0, true}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			b := New(testPart, testPool)
			const now = 3 * time.Second
			var holders []*holder
			for _, r := range c.holds {
				h := newHolder(b)
				must.Eq(t, Granted, h.hold(r.granules, r.progress, r.began, r.began))
				if r.running {
					must.True(t, h.Run())
				}
				holders = append(holders, h)
			}
			asking := newHolder(b)
			if c.asks.running {
				must.True(t, asking.Run())
			}
			result := asking.hold(c.asks.granules, c.asks.progress, c.asks.began, now)
			expected := Wait
			switch c.victim {
			case -1:
				expected = Refused
			case -2:
				expected = Granted
			}
			must.Eq(t, expected, result)
			for i, h := range holders {
				must.Eq(t, i == c.victim, h.refusals == 1, must.Sprintf("holder %d", i))
				must.Eq(t, i != c.victim, h.Run())
			}
			if c.victim >= 0 {
				holders[c.victim].Release()
				must.Eq(t, Granted, asking.hold(c.asks.granules, 0, c.asks.began, now))
			}
		})
	}
}

// Guards against a second refusal while the memory of the first refused request isn't returned yet, and against a waiting request that isn't woken.
func TestOneRefusalIsEnough(t *testing.T) {
	b := New(testPart, testPool)
	first, second, asking := newHolder(b), newHolder(b), newHolder(b)
	must.Eq(t, Granted, first.hold(6, 0, 0, 0))
	must.Eq(t, Granted, second.hold(4, 0, 0, 0))
	for range 3 {
		must.Eq(t, Wait, asking.hold(2, 0, 0, 0))
	}
	must.Eq(t, 1, first.refusals)
	must.Zero(t, second.refusals)
	_, changed := asking.Hold(Request{Held: testPart + granule})
	first.Release()
	<-changed
	must.Eq(t, Granted, asking.hold(1, 0, 0, 0))
}

// Guards against a refused request that waits for memory itself and isn't told.
func TestRefusedRequestThatWaitsIsWoken(t *testing.T) {
	b := New(testPart, testPool)
	big, waiting, asking := newHolder(b), newHolder(b), newHolder(b)
	must.Eq(t, Granted, big.hold(6, 0, -time.Hour, -time.Hour))
	must.Eq(t, Granted, waiting.hold(4, 0.9, -time.Hour, -time.Hour))
	result, changed := waiting.Hold(Request{Held: testPart + 5*granule, Progress: 0.9, Began: -time.Hour})
	must.Eq(t, Wait, result) // for big, which is refused
	must.Eq(t, 1, big.refusals)
	must.Eq(t, Wait, asking.hold(7, 0, 0, 0))
	must.Eq(t, 1, waiting.refusals)
	<-changed
	must.Eq(t, Refused, waiting.hold(5, 0, 0, 0))
}

// Guards against a pool that is exceeded or not returned, a running request that is refused, and a request that is neither granted, refused nor woken,
// for any sequence of operations.
func TestRandomOperations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(testPart, testPool)
		accounts := make([]*holder, rapid.IntRange(1, 8).Draw(t, "accounts"))
		for i := range accounts {
			accounts[i] = newHolder(b)
		}
		now := time.Duration(0)
		steps := rapid.IntRange(1, 60).Draw(t, "steps")
		for range steps {
			now += time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms")) * time.Millisecond
			h := rapid.SampledFrom(accounts).Draw(t, "account")
			switch rapid.IntRange(0, 3).Draw(t, "operation") {
			case 0, 1:
				before, refused := h.shared, h.refused
				result, changed := h.Hold(Request{Held: rapid.Int64Range(0, testPool*2).Draw(t, "held"), Progress: rapid.Float64Range(0, 1).Draw(t, "progress"), Began: 0, Now: now})
				if result != Granted && h.shared != before {
					t.Fatalf("the taken memory changed without a grant")
				}
				if refused && result == Wait {
					t.Fatalf("a refused request waits")
				}
				if result == Wait {
					returning := int64(0)
					for _, other := range accounts {
						if other.refused {
							returning += other.taken
						}
					}
					if changed == nil || returning == 0 {
						t.Fatalf("waits for nothing")
					}
				}
			case 2:
				wasRefused := h.refused
				if h.Run() == wasRefused {
					t.Fatalf("a refused request runs, or one that isn't refused doesn't")
				}
			case 3:
				h.Release()
				h.refusals = 0
			}
			sum, returning := int64(0), int64(0)
			for _, other := range accounts {
				sum += other.taken
				if other.refused {
					returning += other.taken
				}
				if other.running && other.refused || other.refusals > 1 {
					t.Fatalf("a running request is refused, or one twice")
				}
			}
			if sum != b.taken || sum > testPool || returning != b.releasing {
				t.Fatalf("taken %d, accounts hold %d, pool %d; releasing %d, refused accounts hold %d", b.taken, sum, testPool, b.releasing, returning)
			}
		}
		for _, h := range accounts {
			h.Release()
		}
		if b.taken != 0 || b.releasing != 0 || len(b.holders) != 0 {
			t.Fatalf("memory isn't returned")
		}
	})
}

// Guards against a data race, a deadlock and a pool that isn't returned when connections ask at the same time.
func TestConcurrentRequests(t *testing.T) {
	b := New(testPart, testPool)
	var group sync.WaitGroup
	for range 16 {
		group.Go(func() {
			a := b.NewAccount(func() {})
			for i := range 300 {
				for held := int64(0); held < testPart+4*granule; held += granule / 2 {
					result, changed := a.Hold(Request{Held: held, Progress: 0.5, Now: time.Duration(i) * time.Millisecond})
					if result == Wait {
						select {
						case <-changed:
						case <-time.After(time.Millisecond):
						}
						continue
					}
					if result == Refused {
						break
					}
				}
				_ = a.Run()
				a.Release()
			}
		})
	}
	group.Wait()
	must.Zero(t, b.Taken())
}
