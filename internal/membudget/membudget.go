// Package membudget divides the memory that a process has for unfinished requests and unread responses between its connections. It knows nothing of the
// network: its users state what a request holds and carry out the refusals.
//
// Each connection may hold a small part without asking, so that small requests are always admitted, without a lock. What a request holds beyond that is
// taken from a shared pool. If the pool is exhausted, the request that is cheapest to refuse goes first: the one that has held the most for the longest
// time and lacks the largest share of its bytes. A request that runs is never refused.
package membudget

import (
	"sync"
	"time"
)

const (
	// granule is the unit in which memory is taken from the pool, bytes. It keeps a connection from asking at each read.
	granule = 16 << 10
	// minAge is added to the age of each request, so that the size decides between requests that have just begun.
	minAge = 100 * time.Millisecond
	// minMissing is the least share of a request that counts as missing, so that a request that stops before its last byte isn't kept for free.
	minMissing = 0.1
)

// Result is the result of Hold.
type Result int

// Results of Hold.
const (
	Granted Result = iota
	Wait           // another request is being refused; ask again once the channel is closed
	Refused        // this request has to be refused
)

// Budget is the memory for the unfinished requests of all connections. Its methods may be called concurrently.
type Budget struct {
	part, pool int64

	mu        sync.Mutex
	taken     int64 // from the pool
	releasing int64 // part of taken that refused accounts are about to return
	holders   map[*Account]struct{}
	changed   chan struct{} // closed when waiting accounts should ask again; nil if nobody waits
}

// New returns a budget. part is what each account may always hold and pool what all together may hold beyond that, in bytes.
func New(part, pool int64) *Budget {
	return &Budget{part: part, pool: pool, holders: map[*Account]struct{}{}}
}

// Part returns what each account may always hold, in bytes.
func (b *Budget) Part() int64 { return b.part }

// Pool returns the size of the shared pool in bytes.
func (b *Budget) Pool() int64 { return b.pool }

// Taken returns how much of the pool is taken, in bytes.
func (b *Budget) Taken() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.taken
}

// Account is the account of one connection, which has one unfinished request at a time. All methods are called by the goroutine of the connection; the
// fields below mu of the budget are also read and changed by others.
type Account struct {
	budget *Budget
	refuse func()
	part   int64 // of the budget, reached without a lock
	shared int64 // the goroutine's copy of taken
	runs   bool  // the goroutine's copy of running, which is set once the account holds a part of the pool

	// Guarded by Budget.mu:
	taken    int64
	began    time.Duration
	progress float64
	running  bool
	refused  bool
}

// NewAccount returns an account that holds nothing. refuse is called when the account's request has to be refused in favour of another one; it must not
// block, and may come from any goroutine, at most once for each request.
func (b *Budget) NewAccount(refuse func()) *Account {
	return &Account{budget: b, refuse: refuse, part: b.part}
}

// Request describes the unfinished request of an account.
type Request struct {
	Held     int64         // bytes, all that the request holds
	Progress float64       // share of the request that has arrived, 0 to 1; 0 if its length isn't known
	Began    time.Duration // when its first byte arrived, on the clock of Now
	Now      time.Duration
}

// Hold changes what the request of the account holds. The request must not hold more than before unless the result is Granted. If the result is Wait,
// the channel is closed when it is time to ask again.
func (a *Account) Hold(r Request) (Result, <-chan struct{}) {
	if r.Held <= a.part && a.shared == 0 {
		return Granted, nil
	}
	need := (max(0, r.Held-a.part) + granule - 1) / granule * granule
	if need == a.shared {
		return Granted, nil
	}
	result, victim, changed := a.budget.hold(a, need, r)
	if victim != nil {
		victim.refuse()
	}
	return result, changed
}

func (b *Budget) hold(a *Account, need int64, r Request) (Result, *Account, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a.began, a.progress, a.running = r.Began, r.Progress, a.runs
	switch {
	case a.refused:
		return Refused, nil, nil
	case b.taken-a.taken+need <= b.pool:
		b.set(a, need)
		return Granted, nil, nil
	case b.taken-a.taken+need-b.releasing <= b.pool:
		return Wait, nil, b.awaitChange()
	}
	victim, highest := a, a.cost(need, r.Now)
	if a.running {
		highest = 0
	}
	for h := range b.holders {
		if h == a || h.running || h.refused {
			continue
		}
		if c := h.cost(h.taken, r.Now); c > highest {
			victim, highest = h, c
		}
	}
	if victim == a {
		return Refused, nil, nil
	}
	victim.refused = true
	b.releasing += victim.taken
	b.notify() // the victim may itself be waiting
	return Wait, victim, b.awaitChange()
}

// awaitChange returns the channel that is closed at the next call of notify.
func (b *Budget) awaitChange() <-chan struct{} {
	if b.changed == nil {
		b.changed = make(chan struct{})
	}
	return b.changed
}

func (b *Budget) notify() {
	if b.changed != nil {
		close(b.changed)
		b.changed = nil
	}
}

// cost is what refusing the account's request saves: the memory times the time for which it has been held, less for requests that are almost complete.
func (a *Account) cost(taken int64, now time.Duration) float64 {
	return float64(taken) * (max(0, now-a.began) + minAge).Seconds() * max(minMissing, 1-a.progress)
}

// set changes what the account has taken from the pool.
func (b *Budget) set(a *Account, taken int64) {
	if a.refused {
		b.releasing += taken - a.taken
	}
	b.taken += taken - a.taken
	if taken < a.taken {
		b.notify()
	}
	a.taken, a.shared = taken, taken
	if taken > 0 {
		b.holders[a] = struct{}{}
	} else {
		delete(b.holders, a)
	}
}

// Run states that the request is complete and is about to run. It returns false if the request has been refused in the meantime and must not run.
func (a *Account) Run() bool {
	a.runs = true
	if a.shared == 0 {
		return true // only accounts that hold a part of the pool are refused
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.running = !a.refused
	a.runs = a.running
	return a.running
}

// Release states that the request has ended and holds nothing any more.
func (a *Account) Release() {
	a.runs = false
	if a.shared == 0 {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.budget.set(a, 0)
	a.running, a.refused = false, false
}
