// Command standin-2 runs a case of the second review: it starts entry VMs as
// processes, with stand-ins of the store, the backend servers and the clients, and
// exits with 1 if a rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"time"
)

// cases are the cases by the name of their folder.
var cases = map[string]func(r *record, trouble bool) (broken string, err error){
	"6": runOddKey,
	"7": runForeignEntry,
	"8": runStorm,
	"9": runPause,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE RECORD")
		os.Exit(2)
	}
	os.Exit(runCase(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func runCase(name, path string, trouble bool) int {
	out, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer out.Close()
	r := &record{start: time.Now(), out: out}
	r.printf("case %s, with the disruption: %v", name, trouble)
	broken, err := cases[name](r, trouble)
	var unusable *unusableError
	switch {
	case errors.As(err, &unusable):
		r.printf("%v", err)
		fmt.Println(err)
		return 2
	case broken != "":
		r.printf("BROKEN %s", broken)
		fmt.Println("broken:", broken)
		return 1
	}
	r.printf("held")
	fmt.Println("held")
	return 0
}
