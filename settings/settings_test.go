package settings

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/urfave/cli/v3"
)

func valid(overrides ...string) map[string]string {
	values := map[string]string{"vm-id": "attica-1", "zone": "attica-a"}
	for i := 0; i < len(overrides); i += 2 {
		values[overrides[i]] = overrides[i+1]
	}
	return values
}

// Checks that all defaults are allowed, and that a setting which defaults to the
// value of another one takes that value.
func TestDefaultsAreAllowed(t *testing.T) {
	c := qt.New(t)
	s, err := Parse(valid())
	c.Assert(err, qt.IsNil)
	c.Assert(s.Region, qt.Equals, "attica-a")
	c.Assert(s.CallerAdvertise, qt.Equals, "127.0.0.1:7401")
	c.Assert(s.DrainServe, qt.Equals, 35*time.Second)
}

// Checks that invalid values are refused with an error that names the setting.
func TestWrongValuesNameTheSetting(t *testing.T) {
	for _, test := range []struct{ setting, value string }{
		{"vm-id", ""}, {"vm-id", "Attica 1"}, {"vm-id", strings.Repeat("a", 64)}, {"zone", "a/b"},
		{"caller-listen", "localhost:80"}, {"caller-listen", "127.0.0.1"}, {"peer-listen", "127.0.0.1:70000"},
		{"admin-listen", "127.0.0.1:7401"}, {"caller-advertise", "0.0.0.0:1"}, {"peer-advertise", "127.0.0.1:0"},
		{"platform-url", "127.0.0.1:8500"}, {"platform-url", "ftp://h/"}, {"platform-url", "http://h/?a=b"},
		{"log-level", "loud"}, {"address-ttl", "0"}, {"address-ttl", "30"}, {"drain-serve", "30s"}, {"drain-timeout", "35s"},
		{"probe-interval", "5s"}, {"probe-interval", "-1s"}, {"max-header-bytes", "0"}, {"max-caller-body-bytes", "1e6"},
		{"max-concurrent-requests", "0"}, {"seeds", "vm-2:7403"}, {"seeds", "10.0.0.1:0"}, {"seeds", "10.0.0.1:1,"}, {"ticket-capacity", "99999999999999999999"},
	} {
		t.Run(test.setting+"="+test.value, func(t *testing.T) {
			c := qt.New(t)
			_, err := Parse(valid(test.setting, test.value))
			var e *Error
			c.Assert(errors.As(err, &e), qt.IsTrue, qt.Commentf("error %v", err))
			c.Assert(e.Setting, qt.Equals, test.setting)
			c.Assert(e.Allowed, qt.Not(qt.Equals), "")
		})
	}
}

// Checks that a VM that listens on an unspecified IP must be given an address to
// advertise, because others cannot connect to its listen address.
func TestAdvertisedAddressIsRequiredWithoutSpecificIP(t *testing.T) {
	c := qt.New(t)
	_, err := Parse(valid("peer-listen", "0.0.0.0:7403"))
	c.Assert(err, qt.ErrorMatches, `setting --peer-advertise \(BRIARSTAND_PEER_ADVERTISE\): value "0.0.0.0:7403" .*`)
	_, err = Parse(valid("peer-listen", "0.0.0.0:7403", "peer-advertise", "10.0.0.7:7403"))
	c.Assert(err, qt.IsNil)
}

// Guards against an environment variable that overrides a flag or is not read.
func TestFlagsAndEnvironment(t *testing.T) {
	c := qt.New(t)
	c.Setenv("BRIARSTAND_VM_ID", "from-env")
	c.Setenv("BRIARSTAND_ADDRESS_TTL", "20s")
	var got Settings
	cmd := &cli.Command{Flags: Flags(), Action: func(_ context.Context, cmd *cli.Command) (err error) {
		got, err = FromCommand(cmd)
		return err
	}}
	c.Assert(cmd.Run(context.Background(), []string{"briarstandd", "--zone", "z", "--address-ttl", "10s"}), qt.IsNil)
	c.Assert(got.VMID, qt.Equals, "from-env")
	c.Assert(got.AddressTTL, qt.Equals, 10*time.Second)
}

// Guards against documentation that lacks a setting or shows another default.
// UPDATE_GOLDEN=1 rewrites the table in docs/settings.md.
func TestDocumentation(t *testing.T) {
	c := qt.New(t)
	const path, mark = "../docs/settings.md", "| flag | environment variable |"
	raw, err := os.ReadFile(path)
	c.Assert(err, qt.IsNil)
	head, table, _ := strings.Cut(string(raw), mark)
	want := documentationTable()
	if os.Getenv("UPDATE_GOLDEN") != "" {
		c.Assert(os.WriteFile(path, []byte(head+want), 0o644), qt.IsNil)
		return
	}
	c.Assert(mark+table, qt.Equals, want)
}

func documentationTable() string {
	var b strings.Builder
	b.WriteString("| flag | environment variable | default | meaning | allowed |\n|---|---|---|---|---|\n")
	for _, d := range All() {
		def := "none, required"
		if d.Default != "" {
			def = "`" + d.Default + "`"
		} else if strings.HasSuffix(d.Allowed, "or empty") {
			def = "empty"
		}
		fmt.Fprintf(&b, "| `--%s` | `%s` | %s | %s | %s |\n", d.Name, d.Env(), def, d.Usage, d.Allowed)
	}
	return b.String()
}

// FuzzParse guards against a panic and against values that pass validation but
// violate the relations between settings that the daemon depends on.
func FuzzParse(f *testing.F) {
	f.Add("attica-1", "127.0.0.1:7401", "http://127.0.0.1:8500", "30s", "1s", "4096")
	f.Add("", ":0", "http://", "1h", "-1s", "0x10")
	f.Add("a", "[::1]:1", "https://[::1]:1/p", "2562047h47m16.854775807s", "1ns", "+1")
	f.Fuzz(func(t *testing.T, id, listen, platform, ttl, probe, concurrent string) {
		s, err := Parse(valid("vm-id", id, "caller-listen", listen, "platform-url", platform, "address-ttl", ttl,
			"probe-interval", probe, "max-concurrent-requests", concurrent))
		if err != nil {
			var e *Error
			if !errors.As(err, &e) {
				t.Fatalf("error %v has type %T", err, err)
			}
			return
		}
		if s.VMID == "" || s.DrainServe <= s.AddressTTL || s.DrainTimeout <= s.DrainServe ||
			s.ProbeInterval >= s.FreshnessWindow || s.ProbeInterval <= 0 || s.MaxConcurrentRequests < 1 {
			t.Fatalf("settings %+v are not consistent", s)
		}
	})
}
