package intake

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"samphirewell/internal/batch"
	"samphirewell/internal/dispatch"
	"samphirewell/internal/rowstore"
	"samphirewell/internal/rowstore/memstore"
)

func stateRow(id, team, state string, bytes int) rowstore.Row {
	value, _ := json.Marshal(map[string]any{"q": "q", "s": state, "t": team, "z": bytes})
	return rowstore.Row{Key: rowstore.Key{Table: dispatch.TableStates, Key: id}, Value: value}
}

// Guards against live jobs without bound: jobs that can't run take the memory of each leader. Other teams may still submit, and callers learn when to come back.
func TestLiveJobsAreBounded(t *testing.T) {
	in := newIntake(memstore.New())
	team := in.Policy().Teams[0].Name
	in.States().Reset([]rowstore.Row{stateRow("a", "other", "pending", maxLiveBytes/2)})
	must.Eq(t, OK, submit(in, call("/q/"+testID)).Code, must.Sprint("another team holds half of the bound"))
	share := maxLiveBytes / 2 / len(in.Policy().Teams)
	in.States().Changed([]rowstore.Row{stateRow("b", team, "running", share)})
	c := call("/q/" + testID[:15] + "8")
	r := submit(in, c)
	must.Eq(t, Unavailable, r.Code)
	must.Eq(t, 5*time.Second, r.RetryAfter)
	in.States().Changed([]rowstore.Row{stateRow("b", team, "completed", 0)})
	must.Eq(t, OK, submit(in, c).Code)
}

// Guards against a count of live jobs that drifts, and against one team that keeps others out.
func TestLiveBytesAreCounted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newStateCache()
		teams := rapid.IntRange(1, 10).Draw(t, "teams")
		latest := map[string]dispatch.LiveJob{}
		for range rapid.IntRange(1, 200).Draw(t, "changes") {
			id, team := fmt.Sprint(rapid.IntRange(0, 30).Draw(t, "job")), fmt.Sprint(rapid.IntRange(0, teams-1).Draw(t, "team"))
			switch rapid.IntRange(0, 3).Draw(t, "change") {
			case 0:
				row := stateRow(id, "", "completed", 0)
				row.Deleted = rapid.Bool().Draw(t, "deleted")
				s.Changed([]rowstore.Row{row})
				delete(latest, id)
			default:
				bytes := rapid.IntRange(1, maxLiveBytes/8).Draw(t, "bytes")
				if old, live := latest[id]; live {
					team, bytes = old.Team, old.Bytes
				} else if !s.admits(team, bytes, teams) {
					must.Greater(t, maxLiveBytes/2/teams, s.live.byTeam[team]+bytes, must.Sprint("within its share"))
					continue
				}
				s.Changed([]rowstore.Row{stateRow(id, team, "running", bytes)})
				latest[id] = dispatch.LiveJob{Team: team, Bytes: bytes}
			}
			sum := 0
			for _, j := range latest {
				sum += j.Bytes
			}
			must.Eq(t, sum, s.live.total)
			must.LessEq(t, maxLiveBytes, s.live.total)
		}
	})
}

// Guards against sizes that the leader doesn't store.
func TestStoredStatesTellTheSizeOfLiveJobs(t *testing.T) {
	j := batch.Job{ID: "j", Team: "red", Payload: "p", Steps: []batch.Step{{Tasks: 1}, {Tasks: 1, After: []int{0}}}, Queue: batch.Queue{Name: "q"}}
	c := dispatch.New(1, testPolicy(1), dispatch.Bounds{}, discardLog())
	c.AddJob(j, 0)
	live, ok := dispatch.LiveJobOf(c.TakeCommit().Puts[0])
	must.True(t, ok)
	must.Eq(t, dispatch.LiveJob{Team: "red", Bytes: j.MemoryBytes()}, live)
	c.Cancel("j", 0)
	_, ok = dispatch.LiveJobOf(c.TakeCommit().Puts[0])
	must.False(t, ok)
}
