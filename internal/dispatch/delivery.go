package dispatch

// orderAttempts is how often an order is sent at most while no response arrives. Orders are idempotent under their run number.
const orderAttempts = 3

// Delivery is what the responses to the copies of an order tell about it.
type Delivery struct {
	Result           Result // what holds for all copies
	Response         Result // to the last copy; 0 if none was sent
	UnansweredCopies int    // copies that got no response
}

// Deliver sends copies of an order until one gets a response. Opening a connection is tried as often, since a single packet may be lost. A copy without a
// response may be carried out after later copies.
func Deliver(o Order, attempt func(Order) Result) Delivery {
	d := Delivery{}
	for range orderAttempts {
		d.Response = TooLate
		if o.allowed() {
			d.Response = attempt(o)
		}
		if d.Response == Unknown {
			d.UnansweredCopies++
		} else if d.Response != NotSent {
			break
		}
	}
	d.Result = d.Response
	if d.UnansweredCopies > 0 && !d.Response.holdsForEarlierCopies(o) {
		d.Result = Unknown
	}
	return d
}

// holdsForEarlierCopies reports whether a response also tells what becomes of earlier copies of the order that got no response. A start that was
// refused may still be carried out by an earlier copy, unless the run is present or over or the epoch has passed. A stop affects no later run.
func (r Result) holdsForEarlierCopies(o Order) bool {
	return o.Stop || r == Accepted || r == Superseded || r == Deposed
}
