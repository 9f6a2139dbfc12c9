package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/pkg/errors"

	"samphirewell/internal/api"
)

// pathRegister is the path prefix under which simulated executors and workers in other processes change the host list of a Platform.
const pathRegister = "/standin/hosts/"

// putHost handles a request that adds a host to the list.
func (p *Platform) putHost(w http.ResponseWriter, r *http.Request) {
	var e api.HostEntry
	if !readJSON(w, r, &e) {
		return
	}
	if e.ID != r.PathValue("id") {
		http.Error(w, "host id differs from the path", http.StatusBadRequest)
		return
	}
	p.AddHost(e)
	w.WriteHeader(http.StatusNoContent)
}

// deleteHost handles a request that removes a host from the list.
func (p *Platform) deleteHost(w http.ResponseWriter, r *http.Request) {
	p.RemoveHost(r.PathValue("id"))
	w.WriteHeader(http.StatusNoContent)
}

// RegisterHost adds a host to the list of the Platform at platformURL, which may be in another process.
func RegisterHost(ctx context.Context, platformURL string, e api.HostEntry) error {
	body, err := json.Marshal(e)
	if err != nil {
		return errors.Wrap(err, "encode host entry")
	}
	return changeHost(ctx, http.MethodPut, platformURL, e.ID, body)
}

// UnregisterHost removes a host from the list of the Platform at platformURL.
func UnregisterHost(ctx context.Context, platformURL, id string) error {
	return changeHost(ctx, http.MethodDelete, platformURL, id, nil)
}

func changeHost(ctx context.Context, method, platformURL, id string, body []byte) error {
	req, err := http.NewRequestWithContext(ctx, method, platformURL+pathRegister+url.PathEscape(id), bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "change host list")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "change host list")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusNoContent {
		return errors.Errorf("change host list: host %s: platform responded with %s", id, resp.Status)
	}
	return nil
}
