package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/briarstand/briarstand/cli/entrycli"
)

// TestMain lets scripts run each program as a process: the test binary runs itself
// under the program's name.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"briarstand": func() {
			ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			os.Exit(Run(ctx, os.Args, Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}))
		},
		"briarstandd": func() {
			os.Exit(RunDaemon(context.Background(), os.Args, Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}))
		},
		"briarstand-entry": func() { os.Exit(entrycli.Run(context.Background(), os.Args, os.Stdout, os.Stderr)) },
	})
}

// TestScript checks what callers, operators, daemons, backend servers and the
// platform send to each other and print. Each script runs a session, whose
// transcript must equal the golden file in the script; UPDATE_GOLDEN=1 rewrites the
// golden files.
func TestScript(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 filepath.Join("testdata", "script"),
		UpdateScripts:       os.Getenv("UPDATE_GOLDEN") != "",
		RequireExplicitExec: true,
		Setup:               setupScript,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"run": cmdRun, "until": cmdUntil, "http": cmdHTTP, "note": cmdNote, "capture": cmdCapture, "expand": cmdExpand, "total": cmdTotal, "signal": cmdSignal, "fetch": cmdFetch,
		},
	})
}

// session is the state of one script.
type session struct {
	network   string
	revisions map[string]string
}

type sessionKey struct{}

// setupScript gives the script a loopback network of its own, so that concurrent
// scripts and test runs can use fixed ports.
func setupScript(env *testscript.Env) error {
	network, lock, err := reserveNetwork()
	if err != nil {
		return err
	}
	env.Defer(func() { _ = lock.Close() })
	env.Setenv("NET", network)
	// By default the race detector delays the exit of a process by 1 s.
	env.Setenv("GORACE", "atexit_sleep_ms=20")
	env.Setenv("LONG", strings.Repeat("x", 40000))
	for name, value := range map[string]string{
		"PLATFORM_URL": "http://" + network + ".1:8500", "OPERATOR": "eleni",
		"OPERATOR_ADDRESS": network + ".11:7402", "CALLER_ADDRESS": network + ".11:7401",
		"PROBE_INTERVAL": "100ms", "SUSPICION_TIME": "1s", "FRESHNESS_WINDOW": "2s",
		"ADDRESS_TTL": "1s", "DRAIN_SERVE": "1100ms", "DRAIN_TIMEOUT": "20s", "LOG_LEVEL": "warn",
	} {
		env.Setenv("BRIARSTAND_"+name, value)
	}
	env.Values[sessionKey{}] = &session{network: network, revisions: map[string]string{}}
	if err := writeSpec(env, network); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(env.WorkDir, "transcript"), nil, 0o644)
}

// writeSpec writes the spec of a service on two backend servers as siteapp.json,
// unless the script has one.
func writeSpec(env *testscript.Env, network string) error {
	path := filepath.Join(env.WorkDir, "siteapp.json")
	if _, err := os.Stat(path); err == nil {
		return nil
	}
	spec, err := os.ReadFile(filepath.Join("testdata", "siteapp.json"))
	if err != nil {
		return err
	}
	return os.WriteFile(path, bytes.ReplaceAll(spec, []byte("$NET"), []byte(network)), 0o644)
}

// reserveNetwork returns the first three octets of a loopback network that no
// other test uses, and the listener that reserves it.
func reserveNetwork() (string, net.Listener, error) {
	for i := range 200 * 250 {
		network := fmt.Sprintf("127.%d.%d", 16+(os.Getpid()+i/250)%200, 1+i%250)
		if l, err := net.Listen("tcp", network+".254:7400"); err == nil {
			return network, l, nil
		}
	}
	return "", nil, errors.New("no free loopback network")
}

func sessionOf(ts *testscript.TestScript) *session {
	return ts.Value(sessionKey{}).(*session)
}

// record appends normalised text to the transcript.
func record(ts *testscript.TestScript, text string) {
	path := ts.MkAbs("transcript")
	f, err := os.OpenFile(path, os.O_APPEND|os.O_WRONLY, 0)
	ts.Check(err)
	defer f.Close()
	_, err = f.WriteString(sessionOf(ts).normalise(text))
	ts.Check(err)
}

var (
	timePattern        = regexp.MustCompile(`\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d(\.\d+)?Z`)
	longPattern        = regexp.MustCompile(`x{100,}`)
	incarnationPattern = regexp.MustCompile(`([?&]n=)\d{15,}`)
	ticketPattern      = regexp.MustCompile(`\bA[0-9A-Za-z_-]{40,}`)
	uuidPattern        = regexp.MustCompile(`[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}`)
	// revisionPatterns match revisions in sentences and options, in JSON, in the
	// path of a call to the store, and in the columns of the tables of services,
	// changes and VMs.
	revisionPatterns = []*regexp.Regexp{
		regexp.MustCompile(`(?:revision|index is|expected) (\d+)`),
		regexp.MustCompile(`"(?:revision|config_index|configIndex|expectedRevision|actualRevision|base)": ?"?(\d+)`),
		regexp.MustCompile(`cas=(\d+)`),
		regexp.MustCompile(`(?m)^(\d+)  TIME`),
		regexp.MustCompile(`SERVICE  REVISION  BACKENDS  INDEX VERSIONS\n[a-z0-9-]+  (\d+)`),
		regexp.MustCompile(`(?m)(?:true|false)  (\d+)$`),
	}
	columnPattern   = regexp.MustCompile(`(\S)  +`)
	portPattern     = regexp.MustCompile(`127\.0\.0\.1:\d+`)
	trailingPattern = regexp.MustCompile(`(?m)[ \t]+$`)
)

// normalise replaces what differs between runs: networks, times, generated ids
// and revisions. Revisions become r1, r2 and so on, in order of appearance.
func (s *session) normalise(text string) string {
	text = strings.ReplaceAll(text, "\u00a0", " ")
	text = portPattern.ReplaceAllString(text, "127.0.0.1:PORT")
	text = strings.ReplaceAll(text, s.network+".", "127.0.0.")
	text = timePattern.ReplaceAllString(text, "TIME")
	text = uuidPattern.ReplaceAllString(text, "UUID")
	text = longPattern.ReplaceAllString(text, "xxx...")
	text = incarnationPattern.ReplaceAllString(text, "${1}N")
	text = ticketPattern.ReplaceAllString(text, "TICKET")
	text = columnPattern.ReplaceAllString(text, "$1  ")
	text = trailingPattern.ReplaceAllString(text, "")
	for _, p := range revisionPatterns {
		text = s.nameRevisions(p, text)
	}
	return text
}

// nameRevisions replaces the revision in the first group of each match of p with its
// name, such as r1. It keeps 0, which is not a revision.
func (s *session) nameRevisions(p *regexp.Regexp, text string) string {
	var b strings.Builder
	last := 0
	for _, m := range p.FindAllStringSubmatchIndex(text, -1) {
		n := text[m[2]:m[3]]
		if n != "0" && s.revisions[n] == "" {
			s.revisions[n] = fmt.Sprintf("r%d", len(s.revisions)+1)
		}
		if n != "0" {
			n = s.revisions[n]
		}
		b.WriteString(text[last:m[2]] + n)
		last = m[3]
	}
	return b.String() + text[last:]
}

// cmdNote writes a line to the transcript.
func cmdNote(ts *testscript.TestScript, _ bool, args []string) {
	record(ts, "\n# "+strings.Join(args, " ")+"\n")
}

// cmdRun runs a program and records its arguments, output and exit code.
func cmdRun(ts *testscript.TestScript, _ bool, args []string) {
	err := ts.Exec(args[0], args[1:]...)
	out, errOut := ts.ReadFile("stdout"), ts.ReadFile("stderr")
	record(ts, "$ "+quoteArgs(args)+"\n"+out+errOut+fmt.Sprintf("[exit %d]\n", exitCode(ts, err)))
}

// quoteArgs joins arguments and quotes those that are empty or have spaces.
func quoteArgs(args []string) string {
	var words []string
	for _, a := range args {
		if a == "" || strings.Contains(a, " ") {
			a = "'" + a + "'"
		}
		words = append(words, a)
	}
	return strings.Join(words, " ")
}

func exitCode(ts *testscript.TestScript, err error) int {
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return exit.ExitCode()
	}
	ts.Check(err)
	return 0
}

// cmdUntil repeats a program, or a GET of a URL, until the output matches a pattern.
// It records nothing, because the number of repetitions varies.
func cmdUntil(ts *testscript.TestScript, _ bool, args []string) {
	pattern := regexp.MustCompile(args[0])
	deadline := time.Now().Add(30 * time.Second)
	for {
		var out string
		if args[1] == "http" {
			out = request(http.MethodGet, args[2], "")
		} else {
			_ = ts.Exec(args[1], args[2:]...)
			out = ts.ReadFile("stdout") + ts.ReadFile("stderr")
		}
		if pattern.MatchString(out) {
			return
		}
		if time.Now().After(deadline) {
			ts.Fatalf("no match of %q within 30 s; last output:\n%s", args[0], out)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// cmdHTTP sends a request, METHOD URL [BODY [NAME:VALUE...]], and records status
// and body. BODY may be @FILE for the content of a file, or N*TEXT for TEXT repeated
// N times.
func cmdHTTP(ts *testscript.TestScript, _ bool, args []string) {
	body := ""
	if len(args) > 2 {
		body = args[2]
	}
	shownArgs := args[min(len(args), 2):]
	if file, ok := strings.CutPrefix(body, "@"); ok {
		body = ts.ReadFile(file)
	} else if n, text, ok := strings.Cut(body, "*"); ok {
		count, err := strconv.Atoi(n)
		ts.Check(err)
		body = strings.Repeat(text, count)
	}
	answer := request(args[0], args[1], body, args[min(len(args), 3):]...)
	record(ts, fmt.Sprintf("$ %s %s %s\n%s", args[0], args[1], strings.Join(shownArgs, " "), answer))
}

func request(method, url, body string, headers ...string) string {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return err.Error() + "\n"
	}
	req.Header.Set("Content-Type", "application/json")
	for _, h := range headers {
		name, value, _ := strings.Cut(h, ":")
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err.Error() + "\n"
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return err.Error() + "\n"
	}
	// The protobuf library deliberately varies white space between builds.
	var compact bytes.Buffer
	if json.Compact(&compact, answer) == nil {
		answer = compact.Bytes()
	}
	return fmt.Sprintf("%d %s\n", resp.StatusCode, strings.TrimSpace(string(answer)))
}

// cmdCapture sets a variable to the first group of a pattern in the last
// output.
func cmdCapture(ts *testscript.TestScript, _ bool, args []string) {
	m := regexp.MustCompile(args[1]).FindStringSubmatch(ts.ReadFile("stdout"))
	if m == nil {
		ts.Fatalf("no match of %q in the last output", args[1])
	}
	ts.Setenv(args[0], m[1])
}

// cmdExpand replaces $NET in files with the first three octets of the session's
// loopback network.
func cmdExpand(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		text := strings.ReplaceAll(ts.ReadFile(name), "$NET", sessionOf(ts).network)
		ts.Check(os.WriteFile(ts.MkAbs(name), []byte(text), 0o644))
	}
}

// cmdTotal records the sum of a field over the JSON answers of several URLs.
func cmdTotal(ts *testscript.TestScript, _ bool, args []string) {
	total := 0.0
	for _, url := range args[1:] {
		_, body, _ := strings.Cut(request(http.MethodGet, url, ""), " ")
		var values map[string]any
		ts.Check(json.Unmarshal([]byte(body), &values))
		n, ok := values[args[0]].(float64)
		if !ok {
			ts.Fatalf("%s has no number %s", url, args[0])
		}
		total += n
	}
	record(ts, fmt.Sprintf("%s at %s: %v\n", args[0], strings.Join(args[1:], " and "), total))
}

// cmdFetch sets a variable to a field of the JSON answer to a POST:
// VARIABLE URL BODY FIELD.
func cmdFetch(ts *testscript.TestScript, _ bool, args []string) {
	_, body, _ := strings.Cut(request(http.MethodPost, args[1], args[2]), " ")
	var values map[string]any
	ts.Check(json.Unmarshal([]byte(body), &values))
	ts.Setenv(args[0], fmt.Sprint(values[args[3]]))
}

// cmdSignal sends SIGTERM, SIGSTOP, SIGCONT or SIGKILL to the background program
// that has the given argument.
func cmdSignal(ts *testscript.TestScript, _ bool, args []string) {
	signals := map[string]syscall.Signal{"TERM": syscall.SIGTERM, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT, "KILL": syscall.SIGKILL}
	for _, cmd := range ts.BackgroundCmds() {
		if slices.Contains(cmd.Args, args[1]) {
			ts.Check(cmd.Process.Signal(signals[args[0]]))
			return
		}
	}
	ts.Fatalf("no background program has the argument %s", args[1])
}
