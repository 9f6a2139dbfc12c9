package speed

import "math"

// gaussian is a normal distribution.
type gaussian struct{ mean, variance float64 }

// info is a normal distribution, or the quotient of two, in information form. The zero value holds no information.
type info struct {
	precision float64 // 1 / variance
	weighted  float64 // mean / variance
}

func infoOf(g gaussian) info { return info{1 / g.variance, g.mean / g.variance} }

func (i info) gaussian() gaussian { return gaussian{i.weighted / i.precision, 1 / i.precision} }

func (i info) plus(o info) info { return info{i.precision + o.precision, i.weighted + o.weighted} }

// minus removes information that was added before. Rounding may leave a small negative precision, which counts as none.
func (i info) minus(o info) info {
	if d := i.precision - o.precision; d > 1e-9 {
		return info{d, i.weighted - o.weighted}
	}
	return info{}
}

func (i info) scaled(f float64) info { return info{f * i.precision, f * i.weighted} }

// widened returns the distribution with its variance multiplied by a factor, up to a bound, and the same mean.
func (i info) widened(factor, bound float64) info {
	if f := max(1/factor, min(1, 1/(bound*i.precision))); f < 1 {
		return i.scaled(f)
	}
	return i
}

func density(x, variance float64) float64 {
	return math.Exp(-x*x/(2*variance)) / math.Sqrt(2*math.Pi*variance)
}

// cumulative is the distribution function of the standard normal distribution.
func cumulative(x float64) float64 { return math.Erfc(-x/math.Sqrt2) / 2 }

// maxOf returns the normal distribution with the mean and variance of the larger of two independent normal variables (Clark, 1961).
func maxOf(a, b gaussian) gaussian {
	d := math.Sqrt(a.variance + b.variance)
	alpha := (a.mean - b.mean) / d
	pa, pb, phi := cumulative(alpha), cumulative(-alpha), density(alpha, 1)
	mean := a.mean*pa + b.mean*pb + d*phi
	second := (a.mean*a.mean+a.variance)*pa + (b.mean*b.mean+b.variance)*pb + (a.mean+b.mean)*d*phi
	return gaussian{mean, max(second-mean*mean, 1e-6)}
}

// maxOfOthers returns for each element the maximum of all others, and the maximum of all. The elements of the result are valid until the next call.
func (m *Model) maxOfOthers(of []gaussian) (others []gaussian, all gaussian) {
	n := len(of)
	if cap(m.scratch) < n {
		m.scratch = make([]gaussian, n)
	}
	others, all = m.scratch[:n], of[0]
	for i := 1; i < n; i++ { // of those before
		others[i] = all
		all = maxOf(all, of[i])
	}
	after := of[n-1]
	for i := n - 2; i >= 0; i-- {
		if i == 0 {
			others[0] = after
		} else {
			others[i] = maxOf(others[i], after)
			after = maxOf(after, of[i])
		}
	}
	return others, all
}

// tailProbability returns the probability that a run with this residual, whose variance is given for an ordinary run, is one of the long tail.
func tailProbability(residual, variance float64) float64 {
	tail := tailShare * density(residual-math.Log(tailFactor), variance+tailSpread*tailSpread)
	ordinary := (1 - tailShare) * density(residual, variance)
	if ordinary+tail == 0 {
		return 1
	}
	return tail / (ordinary + tail)
}

// maxKeptVariance is the largest variance of a belief after an observation relative to that before. An ambiguous observation may widen the belief, which no
// message can express.
const maxKeptVariance = 0.99

// singleMessage returns what an observation of the logarithm of the slowness of a worker says of it: the quotient of the belief with the observation and
// that without it, cavity. The run may be one of the long tail.
func singleMessage(y, variance float64, cavity gaussian) info {
	tail := tailProbability(y-cavity.mean, variance+cavity.variance)
	a := infoOf(cavity).plus(infoOf(gaussian{y, variance})).gaussian()
	b := infoOf(cavity).plus(infoOf(gaussian{y - math.Log(tailFactor), variance + tailSpread*tailSpread})).gaussian()
	mean := (1-tail)*a.mean + tail*b.mean
	return messageTo(gaussian{mean, (1-tail)*(a.variance+square(a.mean-mean)) + tail*(b.variance+square(b.mean-mean))}, cavity)
}

// messageTo returns the message that turns one belief into another.
func messageTo(posterior, cavity gaussian) info {
	posterior.variance = min(max(posterior.variance, 1e-4), maxKeptVariance*cavity.variance)
	to, from := infoOf(posterior), infoOf(cavity)
	return info{to.precision - from.precision, to.weighted - from.weighted}
}

// gridPoints is the number of points at which gangMessage evaluates the belief about a worker, over gridRange standard deviations to each side.
const (
	gridPoints = 25
	gridRange  = 4.0
)

// gangMessage is singleMessage for a member of a gang, where the observation is that of the slowest member. others is the slowest other member.
func gangMessage(y, variance float64, cavity, others gaussian) info {
	sum, first, second, sd := 0.0, 0.0, 0.0, math.Sqrt(cavity.variance)
	for i := range gridPoints {
		offset := gridRange * (2*float64(i)/(gridPoints-1) - 1) * sd
		x := cavity.mean + offset
		p := density(offset, cavity.variance) * ((1-tailShare)*memberDensity(y, variance, x, others) +
			tailShare*memberDensity(y-math.Log(tailFactor), variance+tailSpread*tailSpread, x, others))
		sum, first, second = sum+p, first+p*offset, second+p*offset*offset
	}
	if sum < 1e-200 {
		return info{} // nothing that the model knows explains the observation
	}
	mean := first / sum
	return messageTo(gaussian{cavity.mean + mean, second/sum - mean*mean}, cavity)
}

// memberDensity returns the density of an observation y of the slowest member of a gang if one of them has the slowness x: that one is the slowest, or one
// of the others is.
func memberDensity(y, variance, x float64, others gaussian) float64 {
	own := cumulative((x-others.mean)/math.Sqrt(others.variance)) * density(y-x, variance)
	total := others.variance + variance
	mean, between := (others.mean*variance+y*others.variance)/total, math.Sqrt(others.variance*variance/total)
	return own + density(y-others.mean, total)*cumulative((mean-x)/between)
}
