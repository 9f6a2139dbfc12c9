package cli

import (
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"samphirewell/internal/api"
	"samphirewell/internal/bench/fleetmodel"
	"samphirewell/internal/config"
	"samphirewell/internal/settings"
)

const (
	examples              = "../../examples"
	acceleratorsPerDomain = 2 * 8 * 8 // two racks of 8 workers with 8 accelerators
)

// Guards against an example that the programs refuse, and against a file that no check covers.
func TestEveryExampleFileIsValid(t *testing.T) {
	checked := 0
	must.NoError(t, filepath.WalkDir(examples, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || filepath.Ext(path) == ".go" {
			return err
		}
		text, err := os.ReadFile(path)
		must.NoError(t, err)
		switch name := filepath.Base(path); {
		case filepath.Base(filepath.Dir(path)) == "hosts":
			s, err := settings.Decode(path, text)
			must.NoError(t, err)
			must.Eq(t, s.HostID+".json", name)
		case filepath.Base(filepath.Dir(path)) == "fleet":
			s, err := fleetmodel.ParseScenario(text)
			must.NoError(t, err)
			must.Eq(t, s.Name+".json", name)
		case name == "lists.json":
			lists, err := config.ParseLists(path, text)
			must.NoError(t, err)
			checkGuaranteesFit(t, path, lists)
		case strings.HasPrefix(name, "job-"):
			doc, err := settings.Parse(path, text)
			must.NoError(t, err)
			must.NoError(t, doc.Decode("job.json", "JobSpec", new(api.JobSpec)))
		default:
			t.Fatalf("%s: no check covers this file", path)
		}
		checked++
		return nil
	}))
	must.GreaterEq(t, 9, checked)
}

// checkGuaranteesFit guards against an example whose guarantees in a domain exceed the accelerators that its comments state for a domain.
func checkGuaranteesFit(t *testing.T, path string, lists api.Lists) {
	for _, domain := range lists.FailureDomains {
		total := 0
		for _, team := range lists.Teams {
			plan := lists.Plans[slices.IndexFunc(lists.Plans, func(p api.Plan) bool { return p.Name == team.Plan })]
			for _, g := range plan.Guarantees {
				if g.FailureDomain == domain {
					total += g.Count * g.Parts * g.Accelerators
				}
			}
		}
		must.LessEq(t, acceleratorsPerDomain, total, must.Sprintf("%s: guarantees in %s", path, domain))
	}
}

// Guards against host files of one deployment that contradict each other or its lists.
func TestExampleHostsFormOneDeployment(t *testing.T) {
	lists, err := os.ReadFile(examples + "/blue-mahoe/lists.json")
	must.NoError(t, err)
	parsed, err := config.ParseLists("lists.json", lists)
	must.NoError(t, err)
	files, err := filepath.Glob(examples + "/blue-mahoe/hosts/*.json")
	must.NoError(t, err)
	must.Len(t, 6, files)
	hosts := map[string]api.Settings{}
	perDomain := map[string]int{}
	for _, file := range files {
		s, err := settings.Load(file)
		must.NoError(t, err)
		must.SliceContains(t, parsed.FailureDomains, s.FailureDomain)
		hosts[s.HostID] = s
		perDomain[s.FailureDomain]++
	}
	must.MapLen(t, 6, hosts, must.Sprint("host ids are unique"))
	must.Eq(t, map[string]int{"kingston-a": 2, "kingston-b": 2, "montego-a": 2}, perDomain)
	for id, host := range hosts {
		must.Len(t, 5, host.SeedPeers, must.Sprint(id))
		for _, peer := range host.SeedPeers {
			must.Eq(t, hosts[peer.HostID].PeerAddress, peer.PeerAddress)
			must.Eq(t, hosts[peer.HostID].FailureDomain, peer.FailureDomain)
			must.Eq(t, hosts[peer.HostID].OperatorToken, host.OperatorToken)
		}
	}
}
