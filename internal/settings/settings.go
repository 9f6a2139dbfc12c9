package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"os"

	"github.com/pkg/errors"

	"samphirewell/internal/api"
)

// Load reads and checks the settings file of one entry host. The error is Problems, or the error of reading the file.
func Load(file string) (api.Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return api.Settings{}, errors.Wrap(err, "read settings")
	}
	return Decode(file, text)
}

// Decode checks a settings text and fills in the defaults of the schema. Name is used only in problem reports. The error is Problems.
func Decode(name string, text []byte) (api.Settings, error) {
	doc, err := Parse(name, text)
	if err != nil {
		return api.Settings{}, err
	}
	var s api.Settings
	if err := doc.Decode("settings.json", "Settings", &s); err != nil {
		return api.Settings{}, err
	}
	if problems := checkRules(doc, s); len(problems) > 0 {
		return api.Settings{}, problems
	}
	return s, nil
}

// checkRules applies the rules that the schema cannot express.
func checkRules(doc *Document, s api.Settings) Problems {
	var problems Problems
	pathByAddress := map[string]string{}
	checkListenAddress := func(path, address string) {
		ap, err := netip.ParseAddrPort(address)
		if err != nil {
			problems = append(problems, doc.Problem(path, "ip:port", fmt.Sprintf("%q", address)))
			return
		}
		if other, ok := pathByAddress[address]; ok && ap.Port() != 0 {
			problems = append(problems, doc.Problem(path, "an address of its own", "the address of "+other))
		}
		pathByAddress[address] = path
	}
	checkListenAddress("/callerAddress", s.CallerAddress)
	checkListenAddress("/peerAddress", s.PeerAddress)
	checkListenAddress("/operatorAddress", s.OperatorAddress)
	if u, err := url.Parse(s.PlatformURL); err != nil || u.Scheme != "http" || u.Host == "" {
		problems = append(problems, doc.Problem("/platformUrl", "an http URL with a host", fmt.Sprintf("%q", s.PlatformURL)))
	}
	if s.DrainLagMS >= s.DrainTimeoutMS {
		problems = append(problems, doc.Problem("/drainLagMs", fmt.Sprintf("less than drainTimeoutMs (%d)", s.DrainTimeoutMS), fmt.Sprint(s.DrainLagMS)))
	}
	return append(problems, checkSeedPeers(doc, s)...)
}

func checkSeedPeers(doc *Document, s api.Settings) Problems {
	var problems Problems
	seen := map[string]bool{s.HostID: true}
	for i, peer := range s.SeedPeers {
		path := fmt.Sprintf("/seedPeers/%d", i)
		if peer.HostID == "" || seen[peer.HostID] {
			problems = append(problems, doc.Problem(path+"/hostId", "a host id other than those of this host and earlier peers", fmt.Sprintf("%q", peer.HostID)))
		}
		seen[peer.HostID] = true
		if _, err := netip.ParseAddrPort(peer.PeerAddress); err != nil {
			problems = append(problems, doc.Problem(path+"/peerAddress", "ip:port", fmt.Sprintf("%q", peer.PeerAddress)))
		}
	}
	return problems
}
