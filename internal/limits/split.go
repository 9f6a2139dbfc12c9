package limits

import (
	"sort"
	"time"
)

// slotCalls is the number of calls at the plan's rate for which a time slot lasts at least.
const slotCalls = 10

// wholeCalls returns how many whole calls of limit a domain with the given units holds. Over all domains these numbers sum to at most limit. The
// divisor is the smallest that guarantees this, so a domain with most of the units holds all calls of a small limit although the others keep
// MinQuotaUnits.
func wholeCalls(limit, units int64) int64 {
	if limit <= 0 || units <= 0 {
		return 0
	}
	divisor := QuotaUnits*limit/(limit+1) + 1
	return min(limit, limit*units/divisor)
}

// unitsFor returns the smallest number of units for which wholeCalls returns calls.
func unitsFor(limit, calls int64) int64 {
	if calls <= 0 {
		return 0
	}
	divisor := QuotaUnits*limit/(limit+1) + 1
	return (calls*divisor + limit - 1) / limit
}

// concurrentCallers returns the number of hosts or domains that a share can serve at the same time: each needs a whole call of burst and of
// concurrency.
func (s Share) concurrentCallers() int64 { return min(s.Burst, s.Calls) }

// servesFewCallers reports whether the share can serve too few callers at the same time to be divided among n domains in fractions of a call.
func (s Share) servesFewCallers(n int) bool {
	return s.concurrentCallers() > 0 && s.concurrentCallers() < int64(fewCalls*n)
}

// demandsOfFirst keeps the positive demands of at most n members, beginning with member first and wrapping around, and sets the others to zero.
func demandsOfFirst(demands []float64, n int64, first int) []float64 {
	out := make([]float64, len(demands))
	for k := range demands {
		i := (k + first) % len(demands)
		if demands[i] > 0 && n > 0 {
			out[i] = demands[i]
			n--
		}
	}
	return out
}

// slotMember returns which of n members is preferred in the current time slot. A slot lasts for at least slotCalls calls at the plan's rate, so that
// tokens can be used, since a share that moves to another member does not carry tokens with it.
func (p Plan) slotMember(n int, least time.Duration, now time.Time) int {
	length := least
	if p.Rate > 0 {
		length = max(length, time.Duration(min(slotCalls/p.Rate, time.Hour.Seconds())*float64(time.Second)))
	}
	return int(now.UnixNano()/int64(length)) % n
}

// domainShare returns what a domain with the given units holds of a plan.
func (p Plan) domainShare(units int64) Share {
	return Share{
		Rate:  p.microRate() / QuotaUnits * units,
		Burst: wholeCalls(p.burst(), units),
		Calls: wholeCalls(int64(p.Calls), units),
	}
}

// maxMinFair divides total by max-min fairness: small demands are met in full, larger ones share the rest evenly, and what exceeds all demands is
// divided evenly.
func maxMinFair(total float64, demands []float64) []float64 {
	out := make([]float64, len(demands))
	order := make([]int, len(demands))
	for i := range order {
		order[i] = i
	}
	sort.SliceStable(order, func(a, b int) bool { return demands[order[a]] < demands[order[b]] })
	remaining := total
	for k, i := range order {
		out[i] = min(demands[i], remaining/float64(len(order)-k))
		remaining -= out[i]
	}
	for i := range out {
		out[i] += remaining / float64(len(out))
	}
	return out
}

// maxMinFairWhole is maxMinFair in whole calls. Calls left by rounding go to the largest fractions, members with demand first. Ties are resolved in
// order from member first, which callers rotate so that no member of a tie is left out permanently.
func maxMinFairWhole(total int64, demands []float64, first int) []int64 {
	shares := maxMinFair(float64(total), demands)
	out := make([]int64, len(shares))
	order := make([]int, len(shares))
	remaining := total
	for i, s := range shares {
		out[i] = int64(s + 1e-9)
		remaining -= out[i]
		order[i] = (i + first) % len(shares)
	}
	fraction := func(i int) float64 { return shares[i] - float64(out[i]) }
	sort.SliceStable(order, func(a, b int) bool {
		x, y := order[a], order[b]
		if (demands[x] > 0) != (demands[y] > 0) {
			return demands[x] > 0
		}
		return fraction(x) > fraction(y)+1e-9
	})
	for k := 0; remaining > 0 && len(order) > 0; k++ {
		out[order[k%len(order)]]++
		remaining--
	}
	return out
}

// splitShare divides the domain's share among hosts by their demands (rate in microcalls per second, and calls). Only hosts that get a whole call of
// burst get a part of the rate, since without it a bucket admits nothing.
func splitShare(total Share, demandRate, demandCalls []float64, first int) []Share {
	n := len(demandRate)
	out := make([]Share, n)
	demandRate = demandsOfFirst(demandRate, total.concurrentCallers(), first)
	for i := range demandCalls {
		if demandRate[i] == 0 {
			demandCalls[i] = 0
		}
	}
	demandBurst := make([]float64, n)
	for i := range demandBurst {
		if total.Rate > 0 {
			demandBurst[i] = demandRate[i] / float64(total.Rate) * float64(total.Burst)
		}
	}
	burst := maxMinFairWhole(total.Burst, demandBurst, first)
	calls := maxMinFairWhole(total.Calls, demandCalls, first)
	var users []int
	var demands []float64
	for i := range out {
		out[i].Burst, out[i].Calls = burst[i], calls[i]
		if burst[i] > 0 {
			users, demands = append(users, i), append(demands, demandRate[i])
		}
	}
	for k, rate := range maxMinFair(float64(total.Rate), demands) {
		out[users[k]].Rate = int64(rate)
	}
	return out
}
