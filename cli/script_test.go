package cli

import (
	"context"
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
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// Each program runs as its own process: the test binary runs itself under the
// program's name.
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
	})
}

// TestScript guards the exchange between callers, operators, daemons, backend
// servers and the platform as these see it: each script is a whole session
// whose transcript must equal the golden file in it. UPDATE_GOLDEN=1 rewrites
// the golden files.
func TestScript(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 filepath.Join("testdata", "script"),
		UpdateScripts:       os.Getenv("UPDATE_GOLDEN") != "",
		RequireExplicitExec: true,
		Setup:               setupScript,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"run": cmdRun, "until": cmdUntil, "http": cmdHTTP, "note": cmdNote, "capture": cmdCapture,
		},
	})
}

// session is the state of one script.
type session struct {
	network   string
	revisions map[string]string
}

type sessionKey struct{}

// setupScript gives the script a loopback network of its own, so that scripts
// and test runs at the same time can use fixed ports.
func setupScript(env *testscript.Env) error {
	network, lock, err := reserveNetwork()
	if err != nil {
		return err
	}
	env.Defer(func() { _ = lock.Close() })
	env.Setenv("NET", network)
	env.Setenv("BRIARSTAND_PLATFORM_URL", "http://"+network+".1:8500")
	env.Values[sessionKey{}] = &session{network: network, revisions: map[string]string{}}
	return os.WriteFile(filepath.Join(env.WorkDir, "transcript"), nil, 0o644)
}

func reserveNetwork() (string, net.Listener, error) {
	for i := range 200 * 250 {
		network := fmt.Sprintf("127.%d.%d", 16+(os.Getpid()+i/250)%200, 1+i%250)
		if l, err := net.Listen("tcp", network+".254:7400"); err == nil {
			return network, l, nil
		}
	}
	return "", nil, errors.New("no free loopback network")
}

func current(ts *testscript.TestScript) *session {
	return ts.Value(sessionKey{}).(*session)
}

// record adds normalised text to the transcript.
func record(ts *testscript.TestScript, text string) {
	path := ts.MkAbs("transcript")
	f, err := os.OpenFile(path, os.O_APPEND|os.O_WRONLY, 0)
	ts.Check(err)
	defer f.Close()
	_, err = f.WriteString(current(ts).normalise(text))
	ts.Check(err)
}

var (
	timePattern     = regexp.MustCompile(`\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d(\.\d+)?Z`)
	uuidPattern     = regexp.MustCompile(`[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}`)
	revisionPattern = regexp.MustCompile(`\b7\d{5}\b`)
	columnPattern   = regexp.MustCompile(`  +`)
	trailingPattern = regexp.MustCompile(`(?m)[ \t]+$`)
)

// normalise replaces what differs from run to run: networks, times, generated
// ids and revisions. Revisions become r1, r2 and so on, in order of appearance.
func (s *session) normalise(text string) string {
	text = strings.ReplaceAll(text, s.network+".", "127.0.0.")
	text = timePattern.ReplaceAllString(text, "TIME")
	text = uuidPattern.ReplaceAllString(text, "UUID")
	text = revisionPattern.ReplaceAllStringFunc(text, func(n string) string {
		if s.revisions[n] == "" {
			s.revisions[n] = fmt.Sprintf("r%d", len(s.revisions)+1)
		}
		return s.revisions[n]
	})
	text = columnPattern.ReplaceAllString(text, "  ")
	return trailingPattern.ReplaceAllString(text, "")
}

// cmdNote writes a line to the transcript.
func cmdNote(ts *testscript.TestScript, _ bool, args []string) {
	record(ts, "\n# "+strings.Join(args, " ")+"\n")
}

// cmdRun runs a program and records its arguments, output and exit code.
func cmdRun(ts *testscript.TestScript, _ bool, args []string) {
	err := ts.Exec(args[0], args[1:]...)
	out, errOut := ts.ReadFile("stdout"), ts.ReadFile("stderr")
	record(ts, "$ "+strings.Join(args, " ")+"\n"+out+errOut+fmt.Sprintf("[exit %d]\n", exitCode(ts, err)))
}

func exitCode(ts *testscript.TestScript, err error) int {
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return exit.ExitCode()
	}
	ts.Check(err)
	return 0
}

// cmdUntil repeats a program until its output matches a pattern. It is not
// recorded, because the number of tries differs.
func cmdUntil(ts *testscript.TestScript, _ bool, args []string) {
	pattern := regexp.MustCompile(args[0])
	deadline := time.Now().Add(30 * time.Second)
	for {
		var out string
		if args[1] == "http" {
			out = request(http.MethodGet, args[2], "", "")
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

// cmdHTTP sends a request, METHOD URL [BODY [CONTENT-TYPE]], and records status
// and body. BODY may be @FILE.
func cmdHTTP(ts *testscript.TestScript, _ bool, args []string) {
	body, contentType := "", "application/json"
	if len(args) > 2 {
		body = args[2]
	}
	if len(args) > 3 {
		contentType = args[3]
	}
	shown := body
	if file, ok := strings.CutPrefix(body, "@"); ok {
		body = ts.ReadFile(file)
	}
	record(ts, fmt.Sprintf("$ %s %s %s\n%s", args[0], args[1], shown, request(args[0], args[1], body, contentType)))
}

func request(method, url, body, contentType string) string {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return err.Error() + "\n"
	}
	req.Header.Set("Content-Type", contentType)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err.Error() + "\n"
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return err.Error() + "\n"
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
