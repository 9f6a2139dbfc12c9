package member

import (
	"time"

	"samphirewell/internal/api"
)

// State returns the current snapshot. It takes no lock, so it can be called for each request.
func (s *Service) State() State { return *s.state.Load() }

// View returns the adopted view; its id is empty when there is none.
func (s *Service) View() View { return s.state.Load().View }

// Self returns the process of this host.
func (s *Service) Self() api.HostIdentity { return s.opts.Self.Host }

// Domain returns the own failure domain.
func (s *Service) Domain() string { return s.opts.Self.Domain }

// LeaseUntil returns the end of the view lease of this host, or the zero time if it is not held.
func (s *Service) LeaseUntil() time.Time { return s.state.Load().LeaseUntil }

// Acting reports whether this host may act in its view now.
func (s *Service) Acting() bool { return s.state.Load().Acting(s.opts.Clock.Now()) }

// Preferred reports whether this host is the one that acts for the purpose in its domain now, for example "scheduler" or "shares".
func (s *Service) Preferred(purpose string) bool {
	return s.state.Load().Owns(purpose, s.opts.Clock.Now())
}

// Owner returns the id of the host that owns the key in the current view, or "" without a view.
func (s *Service) Owner(key string) string { return s.state.Load().View.Owner(key) }

// CompleteSince returns the time since which only this host can have acted for the key; ok is false while it may not act for it.
func (s *Service) CompleteSince(key string) (since time.Time, ok bool) {
	return s.state.Load().CompleteSince(key, s.opts.Clock.Now())
}

// Subscribe calls f after each change of the view. Calls for two changes may overlap; f must not block.
func (s *Service) Subscribe(f func(View)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subscribers = append(s.subscribers, f)
}

// Attach adds the result of body to each ping and pong that this host sends. An empty result adds nothing. It must be
// called before Run.
func (s *Service) Attach(name string, body func() string) {
	s.attachmentSources = append(s.attachmentSources, attachmentSource{name, body})
}

// Receive calls f with the body of each attachment of that name in the pings and pongs that arrive. It must be called before Run.
func (s *Service) Receive(name string, f func(from api.HostIdentity, body string)) {
	s.receivers[name] = f
}

func (s *Service) attachments() []api.Attachment {
	out := []api.Attachment{}
	for _, a := range s.attachmentSources {
		if body := a.body(); body != "" {
			out = append(out, api.Attachment{Name: a.name, Body: body})
		}
	}
	return out
}

func (s *Service) deliver(from api.HostIdentity, data []api.Attachment) {
	for _, a := range data {
		if f := s.receivers[a.Name]; f != nil {
			f(from, a.Body)
		}
	}
}

func (s *Service) host(id string) (Host, bool) {
	h, ok := (*s.hosts.Load())[id]
	return h, ok
}
