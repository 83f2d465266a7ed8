// Package settings reads the settings of briarstandd from flags and environment
// variables and validates them at start. Those of briarstand-entry come from a
// file, which package platform reads.
package settings

import (
	"fmt"
	"net"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/charmbracelet/log"
	"github.com/urfave/cli/v3"
)

// EnvPrefix is the prefix of the name of every environment variable.
const EnvPrefix = "BRIARSTAND_"

// Settings holds the validated settings of a daemon.
type Settings struct {
	VMID   string
	Zone   string
	Region string

	CallerListen   string
	OperatorListen string
	PeerListen     string
	AdminListen    string
	// CallerAdvertise is the address that callers get, PeerAdvertise the one that
	// other VMs get.
	CallerAdvertise string
	PeerAdvertise   string
	// Seeds are peer API addresses of other VMs, tried in addition to those of
	// the platform's VM list.
	Seeds []string

	PlatformURL     string
	PlatformTimeout time.Duration
	LogLevel        log.Level

	AddressTTL   time.Duration
	DrainServe   time.Duration
	DrainTimeout time.Duration

	FreshnessWindow time.Duration
	ProbeInterval   time.Duration
	ProbeTimeout    time.Duration
	SuspicionTime   time.Duration
	PollInterval    time.Duration
	AcceptWait      time.Duration

	ReadHeaderTimeout     time.Duration
	IdleTimeout           time.Duration
	MaxHeaderBytes        int
	MaxCallerBodyBytes    int
	MaxOperatorBodyBytes  int
	MaxPeerBodyBytes      int
	MaxConcurrentRequests int

	TicketTTL      time.Duration
	TicketCapacity int
}

// Error reports a setting whose value is not allowed.
type Error struct {
	Setting string
	Value   string
	Allowed string
}

func (e *Error) Error() string {
	return fmt.Sprintf("setting --%s (%s): value %q is not allowed; allowed: %s",
		e.Setting, envName(e.Setting), e.Value, e.Allowed)
}

// Setting describes one setting.
type Setting struct {
	Name    string
	Default string
	Usage   string
	Allowed string
	parse   func(s *Settings, value string) bool
}

// Env returns the name of the environment variable.
func (d Setting) Env() string { return envName(d.Name) }

func envName(name string) string {
	return EnvPrefix + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
}

// All returns every setting, in the order of docs/settings.md.
func All() []Setting {
	var all []Setting
	all = append(all, identitySettings()...)
	all = append(all, addressSettings()...)
	all = append(all, platformSettings()...)
	all = append(all, drainSettings()...)
	all = append(all, membershipSettings()...)
	all = append(all, limitSettings()...)
	return all
}

func identitySettings() []Setting {
	return []Setting{
		text("vm-id", "", "Id of this VM, unique in the deployment.", nameRule,
			namePattern.MatchString, func(s *Settings) *string { return &s.VMID }),
		text("zone", "", "Availability zone of this VM.", nameRule,
			namePattern.MatchString, func(s *Settings) *string { return &s.Zone }),
		text("region", "", "Region of this VM; the zone when empty.", nameRule+", or empty",
			emptyOr(namePattern.MatchString), func(s *Settings) *string { return &s.Region }),
	}
}

func addressSettings() []Setting {
	return []Setting{
		text("caller-listen", "127.0.0.1:7401", "Address of the caller API.", addressRule,
			isAddress, func(s *Settings) *string { return &s.CallerListen }),
		text("operator-listen", "127.0.0.1:7402", "Address of the operator API.", addressRule,
			isAddress, func(s *Settings) *string { return &s.OperatorListen }),
		text("peer-listen", "127.0.0.1:7403", "Address of the peer API.", addressRule,
			isAddress, func(s *Settings) *string { return &s.PeerListen }),
		text("admin-listen", "127.0.0.1:7404", "Address of metrics and health.", addressRule,
			isAddress, func(s *Settings) *string { return &s.AdminListen }),
		text("caller-advertise", "", "Address that callers are given; the caller API's address when empty.",
			advertiseRule, emptyOr(isReachable), func(s *Settings) *string { return &s.CallerAdvertise }),
		text("peer-advertise", "", "Address that other VMs are given; the peer API's address when empty.",
			advertiseRule, emptyOr(isReachable), func(s *Settings) *string { return &s.PeerAdvertise }),
		{Name: "seeds", Usage: "Peer API addresses of other VMs, tried while the platform's list cannot be read.",
			Allowed: fmt.Sprintf("up to %d addresses IP:port, separated by commas, or empty", maxSeeds), parse: parseSeeds},
	}
}

func platformSettings() []Setting {
	return []Setting{
		text("platform-url", "http://127.0.0.1:8500", "URL of the platform's key-value service and VM list.",
			"http:// or https:// URL with a host and without a query", isURL,
			func(s *Settings) *string { return &s.PlatformURL }),
		duration("platform-timeout", "2s", "Longest time of one call to the platform, watches excepted.",
			50*time.Millisecond, time.Minute, func(s *Settings) *time.Duration { return &s.PlatformTimeout }),
		{Name: "log-level", Default: "info", Usage: "Least severe level that is logged.",
			Allowed: "debug, info, warn or error", parse: parseLevel},
	}
}

func drainSettings() []Setting {
	return []Setting{
		duration("address-ttl", "30s", "How long callers may keep a list of addresses.",
			time.Second, time.Hour, func(s *Settings) *time.Duration { return &s.AddressTTL }),
		duration("drain-serve", "35s", "How long a leaving VM still takes new requests; longer than address-ttl.",
			time.Second, 2*time.Hour, func(s *Settings) *time.Duration { return &s.DrainServe }),
		duration("drain-timeout", "2m", "Upper bound of the whole drain; longer than drain-serve.",
			time.Second, 4*time.Hour, func(s *Settings) *time.Duration { return &s.DrainTimeout }),
	}
}

func membershipSettings() []Setting {
	return []Setting{
		duration("freshness-window", "5s", "How long a VM takes new queries after its last contact with the store or a fresh peer.",
			500*time.Millisecond, time.Minute, func(s *Settings) *time.Duration { return &s.FreshnessWindow }),
		duration("probe-interval", "1s", "Time between two probes of other VMs; shorter than freshness-window.",
			10*time.Millisecond, 30*time.Second, func(s *Settings) *time.Duration { return &s.ProbeInterval }),
		duration("probe-timeout", "500ms", "Longest time of one probe.",
			10*time.Millisecond, 30*time.Second, func(s *Settings) *time.Duration { return &s.ProbeTimeout }),
		duration("suspicion-time", "5s", "How long a suspect VM may refute the suspicion before it counts as dead.",
			50*time.Millisecond, 5*time.Minute, func(s *Settings) *time.Duration { return &s.SuspicionTime }),
		duration("poll-interval", "1m", "Time between two polls of the store by every VM.",
			100*time.Millisecond, time.Hour, func(s *Settings) *time.Duration { return &s.PollInterval }),
		duration("accept-wait", "10s", "How long an operator's change waits to be accepted before the reply says that it is not.",
			0, 10*time.Minute, func(s *Settings) *time.Duration { return &s.AcceptWait }),
	}
}

func limitSettings() []Setting {
	return []Setting{
		duration("read-header-timeout", "5s", "Longest time to read the headers of a request.",
			50*time.Millisecond, time.Minute, func(s *Settings) *time.Duration { return &s.ReadHeaderTimeout }),
		duration("idle-timeout", "2m", "How long an idle connection stays open.",
			time.Second, time.Hour, func(s *Settings) *time.Duration { return &s.IdleTimeout }),
		integer("max-header-bytes", "16384", "Largest size of the headers of a request, in bytes.",
			1024, 1<<20, func(s *Settings) *int { return &s.MaxHeaderBytes }),
		integer("max-caller-body-bytes", "1048576", "Largest message of the caller API, in bytes.",
			1024, 64<<20, func(s *Settings) *int { return &s.MaxCallerBodyBytes }),
		integer("max-operator-body-bytes", "2097152", "Largest message of the operator API, in bytes.",
			1024, 64<<20, func(s *Settings) *int { return &s.MaxOperatorBodyBytes }),
		integer("max-peer-body-bytes", "16777216", "Largest message of the peer API, in bytes.",
			1<<20, 256<<20, func(s *Settings) *int { return &s.MaxPeerBodyBytes }),
		integer("max-concurrent-requests", "4096", "Requests running at once at each API.",
			1, 1<<20, func(s *Settings) *int { return &s.MaxConcurrentRequests }),
		duration("ticket-ttl", "1m", "How long a ticket for a non-idempotent request may be used.",
			time.Second, time.Hour, func(s *Settings) *time.Duration { return &s.TicketTTL }),
		integer("ticket-capacity", "65536", "Used tickets that are kept with their outcome.",
			1, 1<<24, func(s *Settings) *int { return &s.TicketCapacity }),
	}
}

const (
	nameRule      = "1 to 63 lower-case letters, digits and hyphens, beginning with a letter or digit"
	addressRule   = "IP:port with a numeric IP and a port of 0 to 65535"
	advertiseRule = "IP:port with a numeric IP other than 0.0.0.0 or :: and a port of 1 to 65535, or empty"
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

func text(name, def, usage, allowed string, valid func(string) bool, field func(*Settings) *string) Setting {
	return Setting{Name: name, Default: def, Usage: usage, Allowed: allowed, parse: func(s *Settings, v string) bool {
		*field(s) = v
		return valid(v)
	}}
}

func duration(name, def, usage string, minValue, maxValue time.Duration, field func(*Settings) *time.Duration) Setting {
	allowed := fmt.Sprintf("duration from %s to %s, such as %s", minValue, maxValue, def)
	return Setting{Name: name, Default: def, Usage: usage, Allowed: allowed, parse: func(s *Settings, v string) bool {
		d, err := time.ParseDuration(v)
		*field(s) = d
		return err == nil && d >= minValue && d <= maxValue
	}}
}

func integer(name, def, usage string, minValue, maxValue int, field func(*Settings) *int) Setting {
	allowed := fmt.Sprintf("integer from %d to %d", minValue, maxValue)
	return Setting{Name: name, Default: def, Usage: usage, Allowed: allowed, parse: func(s *Settings, v string) bool {
		n, err := strconv.Atoi(v)
		*field(s) = n
		return err == nil && n >= minValue && n <= maxValue
	}}
}

// maxSeeds is enough to reach a live VM after the loss of a large fraction of a
// fleet.
const maxSeeds = 64

func parseSeeds(s *Settings, v string) bool {
	s.Seeds = nil
	if v == "" {
		return true
	}
	s.Seeds = strings.Split(v, ",")
	return len(s.Seeds) <= maxSeeds && !slices.ContainsFunc(s.Seeds, func(a string) bool { return !isReachable(a) })
}

func parseLevel(s *Settings, v string) bool {
	levels := map[string]log.Level{
		"debug": log.DebugLevel, "info": log.InfoLevel, "warn": log.WarnLevel, "error": log.ErrorLevel,
	}
	level, ok := levels[v]
	s.LogLevel = level
	return ok
}

func emptyOr(valid func(string) bool) func(string) bool {
	return func(v string) bool { return v == "" || valid(v) }
}

func isAddress(v string) bool {
	_, err := netip.ParseAddrPort(v)
	return err == nil
}

func isReachable(v string) bool {
	a, err := netip.ParseAddrPort(v)
	return err == nil && !a.Addr().IsUnspecified() && a.Port() != 0
}

func isURL(v string) bool {
	u, err := url.Parse(v)
	return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Hostname() != "" &&
		u.RawQuery == "" && u.Fragment == "" && u.User == nil
}

// Parse validates values by setting name; a missing setting takes its default.
// It returns an *Error for the first value that is not allowed.
func Parse(values map[string]string) (Settings, error) {
	var s Settings
	for _, d := range All() {
		value, ok := values[d.Name]
		if !ok {
			value = d.Default
		}
		if !d.parse(&s, value) {
			return Settings{}, &Error{Setting: d.Name, Value: value, Allowed: d.Allowed}
		}
	}
	s.setDerivedDefaults()
	if err := s.checkRelations(); err != nil {
		return Settings{}, err
	}
	return s, nil
}

// setDerivedDefaults sets empty settings that default to the value of another one.
func (s *Settings) setDerivedDefaults() {
	if s.Region == "" {
		s.Region = s.Zone
	}
	if s.CallerAdvertise == "" {
		s.CallerAdvertise = s.CallerListen
	}
	if s.PeerAdvertise == "" {
		s.PeerAdvertise = s.PeerListen
	}
}

// checkRelations validates the settings whose allowed values depend on others.
func (s *Settings) checkRelations() error {
	if !hasSpecificIP(s.CallerAdvertise) {
		return &Error{"caller-advertise", s.CallerAdvertise, "an address that callers can reach, as caller-listen has no specific IP"}
	}
	if !hasSpecificIP(s.PeerAdvertise) {
		return &Error{"peer-advertise", s.PeerAdvertise, "an address that other VMs can reach, as peer-listen has no specific IP"}
	}
	if s.DrainServe <= s.AddressTTL {
		return &Error{"drain-serve", s.DrainServe.String(), "longer than address-ttl, which is " + s.AddressTTL.String()}
	}
	if s.DrainTimeout <= s.DrainServe {
		return &Error{"drain-timeout", s.DrainTimeout.String(), "longer than drain-serve, which is " + s.DrainServe.String()}
	}
	if s.ProbeInterval >= s.FreshnessWindow {
		return &Error{"probe-interval", s.ProbeInterval.String(), "shorter than freshness-window, which is " + s.FreshnessWindow.String()}
	}
	return s.checkListeners()
}

// hasSpecificIP reports whether the address has an IP that others can connect to,
// not an unspecified one such as 0.0.0.0. It allows port 0, which the listener
// replaces by the port that it is bound to.
func hasSpecificIP(address string) bool {
	a, err := netip.ParseAddrPort(address)
	return err == nil && !a.Addr().IsUnspecified()
}

func (s *Settings) checkListeners() error {
	used := map[string]string{}
	for _, l := range []struct{ name, address string }{
		{"caller-listen", s.CallerListen}, {"operator-listen", s.OperatorListen},
		{"peer-listen", s.PeerListen}, {"admin-listen", s.AdminListen},
	} {
		_, port, _ := net.SplitHostPort(l.address)
		if other, ok := used[l.address]; ok && port != "0" {
			return &Error{l.name, l.address, "an address other than that of " + other}
		}
		used[l.address] = l.name
	}
	return nil
}

// Flags returns one flag for each setting. A flag that is not given takes the
// value of its environment variable.
func Flags() []cli.Flag {
	var flags []cli.Flag
	for _, d := range All() {
		flags = append(flags, &cli.StringFlag{
			Name:    d.Name,
			Value:   d.Default,
			Usage:   d.Usage + " Allowed: " + d.Allowed + ".",
			Sources: cli.EnvVars(d.Env()),
		})
	}
	return flags
}

// FromCommand reads and validates the settings of a command that has Flags.
func FromCommand(cmd *cli.Command) (Settings, error) {
	values := map[string]string{}
	for _, d := range All() {
		values[d.Name] = cmd.String(d.Name)
	}
	return Parse(values)
}
