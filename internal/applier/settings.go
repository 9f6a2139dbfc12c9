package applier

import "time"

// maxClockRate bounds the relative rate of clocks: a duration of 1 s on one machine lasts at most 1.01 s on another.
const maxClockRate = 1.01

// Settings are the periods and bounds of a controller. Zero fields get the values of DefaultSettings.
type Settings struct {
	LeaseTTL       time.Duration // time to live of a lease after a renewal
	ReservationTTL time.Duration // time to live of a reservation; also the assumed maximum time in flight of a command
	ViewLease      time.Duration // duration of the view lease; a former preferred host keeps its authority for at most this long
	RenewPeriod    time.Duration // between renewals of the leases of a gang
	ReportPeriod   time.Duration // between reports of a worker
	ScanPeriod     time.Duration // between scans of the job rows
	PlanPeriod     time.Duration // between decisions when nothing changed
	HorizonPeriod  time.Duration // between renewals of the domain horizon
	Horizon        time.Duration // time from a renewal of the domain horizon to the horizon
	CommandTimeout time.Duration // timeout of one command to a worker
	CommandWait    time.Duration // maximum time that a step waits for the responses to one round of commands
	Concurrency    int           // concurrent commands to workers; 1 sends them one after the other
	WritesPerSec   float64       // sustained rate of write transactions, each with a group of jobs
	StandbyPeriod  time.Duration // between scans of a host that is not preferred
	RequireRow     bool          // place jobs only if their row can be written, even during a table outage
	WriteBurst     int           // write transactions that may be made in a burst
}

// DefaultSettings returns the default values, which are those of the design document.
func DefaultSettings() Settings {
	return Settings{
		LeaseTTL: 10 * time.Second, ReservationTTL: 5 * time.Second, ViewLease: 2 * time.Second,
		RenewPeriod: 2 * time.Second, ReportPeriod: 5 * time.Second, ScanPeriod: time.Second, PlanPeriod: time.Second,
		HorizonPeriod: time.Minute, Horizon: 2 * time.Hour,
		CommandTimeout: time.Second, CommandWait: 250 * time.Millisecond, Concurrency: 64,
		StandbyPeriod: 5 * time.Second, WritesPerSec: 100, WriteBurst: 20,
	}
}

func (s Settings) withDefaults() Settings {
	d := DefaultSettings()
	for _, f := range []struct{ value, def *time.Duration }{
		{&s.LeaseTTL, &d.LeaseTTL}, {&s.ReservationTTL, &d.ReservationTTL}, {&s.ViewLease, &d.ViewLease},
		{&s.RenewPeriod, &d.RenewPeriod}, {&s.ReportPeriod, &d.ReportPeriod}, {&s.ScanPeriod, &d.ScanPeriod},
		{&s.PlanPeriod, &d.PlanPeriod}, {&s.HorizonPeriod, &d.HorizonPeriod}, {&s.Horizon, &d.Horizon},
		{&s.StandbyPeriod, &d.StandbyPeriod}, {&s.CommandTimeout, &d.CommandTimeout}, {&s.CommandWait, &d.CommandWait},
	} {
		if *f.value <= 0 {
			*f.value = *f.def
		}
	}
	if s.Concurrency <= 0 {
		s.Concurrency = d.Concurrency
	}
	if s.WritesPerSec <= 0 {
		s.WritesPerSec = d.WritesPerSec
	}
	if s.WriteBurst <= 0 {
		s.WriteBurst = d.WriteBurst
	}
	return s
}

// maxFormerAuthority returns the longest time for which a former preferred host may keep its authority.
func (s *Settings) maxFormerAuthority() time.Duration { return withClockDrift(s.ViewLease) }

// leaseExpiryBound returns the time after the sending of the last renewal at which the lease is certain to have expired.
func (s *Settings) leaseExpiryBound() time.Duration {
	return withClockDrift(s.LeaseTTL) + s.ReservationTTL
}

// withClockDrift returns the longest time that d on another machine's clock can last on this host's clock.
func withClockDrift(d time.Duration) time.Duration { return time.Duration(float64(d) * maxClockRate) }
