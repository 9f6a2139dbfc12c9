package retry

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"samphirewell/internal/queue"
)

// Guards against more retries than the budget allows: the initial tokens, 10% of the successes, and one for each FloorPeriod.
func TestBudgetBoundsRetriesPerClass(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, now := NewBudget(), time.Unix(1000, 0)
		begin := now
		var successes, retries [queue.Classes]int
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			class := queue.Class(rapid.IntRange(0, 2).Draw(t, "class"))
			if rapid.Bool().Draw(t, "success") {
				b.Success(class)
				successes[class]++
			} else if b.Take(class, now) {
				retries[class]++
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
		}
		for c := range retries {
			must.LessEq(t, InitialTokens+successes[c]/successesPerRetry+int(now.Sub(begin)/FloorPeriod)+1, retries[c])
		}
	})
}

// Guards against delays outside the jitter range or above the limit, overflow included.
func TestDelayStaysInItsRange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 100).Draw(t, "n")
		d := Delay(n, 10*time.Millisecond, 200*time.Millisecond, rapid.Uint64().Draw(t, "random"))
		full := min(200*time.Millisecond, 10*time.Millisecond<<min(n-1, 10))
		must.GreaterEq(t, full/2, d)
		must.Less(t, full, d)
	})
}
