package batchhost

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"samphirewell/internal/lead"
	"samphirewell/internal/rowstore"
)

// Guards against reads of the table that grow with the number of hosts, and against a leader whose loss no host detects soon.
func TestFewHostsReadTheStatesOften(t *testing.T) {
	const hosts = 147
	var rows []rowstore.Row
	value, err := json.Marshal(lead.Row{Host: "host-0", Incarnation: "p", Epoch: 7})
	must.NoError(t, err)
	rows = append(rows, rowstore.Row{Key: leaderKey, Value: value, Version: 1})
	for i := range hosts {
		rows = append(rows, rowstore.Row{Key: hostKey(fmt.Sprint("host-", i)), Value: []byte(`{"address":"1:1","boot":"b","cores":0.5}`), Version: 1})
	}
	often, perSecond := 0, 0.0
	for i := range hosts {
		h := &Host{options: Options{HostID: fmt.Sprint("host-", i), Processors: 0.5}, leaderWatch: lead.NewWatch(leaderKey, fmt.Sprint("host-", i), 0.5)}
		must.NoError(t, h.hosts.observe(rows, true, time.Unix(1000, 0)))
		h.leaderWatch.Observe(rows, true, time.Unix(1000, 0))
		perSecond += float64(time.Second) / float64(h.statesInterval())
		if h.statesInterval() == statesInterval {
			often++
		}
	}
	must.Between(t, promptHosts, often, promptHosts+1)
	must.Less(t, 200, perSecond)
}
