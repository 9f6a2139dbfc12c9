package batch

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against lookups that miss a queue or a key of a new configuration, and against routing by the shorter of two matching prefixes.
func TestPolicyLookups(t *testing.T) {
	p := (&Policy{Queues: []Queue{{Name: "a", Host: "h", Prefix: "/p/"}, {Name: "b", Host: "h", Prefix: "/p/q/"}, {Name: "c", Host: "i", Prefix: "/p/"}},
		Teams: []Team{{Name: "red", Keys: []string{"k", "l"}, GuaranteedAccelerators: 3}, {Name: "blue"}}}).Index()
	for path, want := range map[string]string{"/p/x": "a", "/p/q/x": "b"} {
		q, ok := p.Route("h", path)
		must.True(t, ok)
		must.Eq(t, want, q.Name)
	}
	_, ok := p.Route("i", "/q/")
	must.False(t, ok)
	q, ok := p.Queue("c")
	must.True(t, ok)
	must.Eq(t, "i", q.Host)
	_, ok = p.Queue("d")
	must.False(t, ok)
	team, ok := p.TeamByKey("l")
	must.True(t, ok)
	must.Eq(t, "red", team)
	must.Eq(t, 3, p.Guarantee("red"))
	must.Eq(t, 0, p.Guarantee("blue"))
}

// BenchmarkQueue measures the lookup that each scheduling cycle does for each job that has not ended, with as many queues as the users' largest
// configuration has.
func BenchmarkQueue(b *testing.B) {
	p := &Policy{}
	for i := range 350 {
		p.Queues = append(p.Queues, Queue{Name: fmt.Sprintf("queue-%d", i)})
	}
	p.Index()
	for b.Loop() {
		p.Queue("queue-340")
	}
}
