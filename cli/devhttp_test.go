package cli

import (
	"context"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards the one command with which a newcomer runs the HTTP path.
func TestDevHTTP(t *testing.T) {
	c := qt.New(t)
	var out, errOut strings.Builder
	code := Run(context.Background(), []string{"briarstand", "dev", "http", "--once"}, Streams{In: strings.NewReader(""), Out: &out, Err: &errOut})
	c.Assert(code, qt.Equals, ExitOK, qt.Commentf("%s", errOut.String()))
	got := regexp.MustCompile(`127\.0\.0\.1:\d+`).ReplaceAllString(out.String(), "VM")
	c.Assert(got, qt.Equals, strings.Join([]string{
		"curl -H 'Host: search.example' http://VM/find/huts",
		"200 hut 9           hut 5           hut 2",
		"curl -H 'Host: search.example' http://VM/quote/7",
		"200 a quote",
		"",
	}, "\n"))
}
