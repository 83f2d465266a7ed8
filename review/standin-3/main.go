// Command standin-3 runs case 13 of the third review: it starts entry VMs as processes,
// with stand-ins of the store, the backend servers and the clients, and exits with 1 if the
// rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"time"
)

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: standin-3 RECORD")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Getenv("TROUBLE") != "0"))
}

func run(path string, trouble bool) int {
	out, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer out.Close()
	r := &record{start: time.Now(), out: out}
	r.printf("case 13, with the disruption: %v", trouble)
	late, err := runOlderCopy(r, trouble)
	switch {
	case err != nil:
		r.printf("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return 2
	case late > 0:
		r.printf("BROKEN CONFIG: %d requests were run by the old service", late)
		fmt.Printf("broken: CONFIG: %d requests were run by the old service\n", late)
		return 1
	}
	r.printf("held")
	fmt.Println("held")
	return 0
}
