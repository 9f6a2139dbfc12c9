package queue

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// Guards against lost or duplicated entries, a queue that exceeds its capacity, expired entries returned as next, and shedding an entry of a more
// urgent class or with a later deadline than another one.
func TestQueueOrderBoundAndExpiry(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(1, 8).Draw(t, "capacity")
		q, now, queued := New(capacity), start, map[*Entry]bool{}
		markRemoved := func(e *Entry) {
			must.True(t, queued[e], must.Sprint("an entry was removed twice"))
			delete(queued, e)
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "pause")))
			if rapid.Bool().Draw(t, "push") {
				e := &Entry{Service: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "service"),
					Class: Class(rapid.IntRange(0, 2).Draw(t, "class")), Deadline: now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "left")))}
				queued[e] = true
				expired, shed := q.Push(e, now)
				checkExpired(t, expired, now, markRemoved)
				if shed != nil {
					markRemoved(shed)
					checkShed(t, shed, queued)
				}
			} else {
				service := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "service")
				next, expired := q.Pop(service, now)
				checkExpired(t, expired, now, markRemoved)
				checkNext(t, next, service, now, queued)
				if next != nil {
					markRemoved(next)
				}
			}
			must.Eq(t, len(queued), q.Len())
			must.LessEq(t, capacity, q.Len())
		}
		checkExpired(t, q.Expire(now.Add(time.Hour)), now.Add(time.Hour), markRemoved)
		must.MapEmpty(t, queued)
	})
}

func checkExpired(t *rapid.T, expired []*Entry, now time.Time, markRemoved func(*Entry)) {
	for _, e := range expired {
		must.False(t, now.Before(e.Deadline), must.Sprint("an entry expired before its deadline"))
		markRemoved(e)
	}
}

func checkShed(t *rapid.T, shed *Entry, queued map[*Entry]bool) {
	for e := range queued {
		must.LessEq(t, shed.Class, e.Class)
		if e.Class == shed.Class {
			must.False(t, e.Deadline.Before(shed.Deadline))
		}
	}
}

func checkNext(t *rapid.T, next *Entry, service string, now time.Time, queued map[*Entry]bool) {
	if next != nil {
		must.Eq(t, service, next.Service)
		must.True(t, now.Before(next.Deadline), must.Sprint("an expired entry was returned as next"))
	}
	for e := range queued {
		if e.Service != service || !now.Before(e.Deadline) {
			continue
		}
		must.NotNil(t, next, must.Sprint("an entry waits but none was returned"))
		must.True(t, e.Class > next.Class || e.Class == next.Class && !e.Deadline.Before(next.Deadline))
	}
}
