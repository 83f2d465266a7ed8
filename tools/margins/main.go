// Command margins plays random days of a deployment with the users' bench and prints how
// much time was left to the bounds that start at the store's acknowledgement.
//
//	go -C tools run ./margins --bench PATH --site FILE --days mix --seeds 1-10 --vary --why TEXT
//
// The bench runs in the repository's root and writes its journal there.
package main

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
)

// bounds maps a time of the bench's report to the setting of the site that bounds it.
var bounds = map[string]string{"leaving in force": "drain_ms", "config in force": "config_ms"}

// report is the part of the bench's report that is used.
type report struct {
	// Times has the median and the maximum in milliseconds, or nothing.
	Times  map[string][]float64 `json:"times"`
	Breaks map[string]any       `json:"breaks"`
	Touch  struct {
		// Out holds the VMs to which the bounds did not apply for a time. Times count
		// their uses too.
		Out map[string]string `json:"out"`
	} `json:"touch"`
}

// BoundError reports a bound that the site file does not have.
type BoundError struct{ Site, Bound string }

func (e *BoundError) Error() string { return fmt.Sprintf("%s has no bound %s", e.Site, e.Bound) }

func main() {
	bench := flag.String("bench", "", "`PATH` of fleetbench")
	site := flag.String("site", "", "site `FILE`")
	days := flag.String("days", "mix", "`DAYS`: names or files, separated by commas")
	seeds := flag.String("seeds", "1-5", "range of `SEEDS`")
	jobs := flag.String("jobs", "1", "`CORES` to use")
	vary := flag.Bool("vary", false, "vary times and figures")
	why := flag.String("why", "", "`TEXT` for the journal")
	flag.Parse()
	if err := run(*bench, *site, strings.Split(*days, ","), *seeds, *jobs, *why, *vary); err != nil {
		fmt.Fprintln(os.Stderr, "margins:", err)
		os.Exit(1)
	}
}

func run(bench, site string, days []string, seeds, jobs, why string, vary bool) error {
	text, err := os.ReadFile(site)
	if err != nil {
		return fmt.Errorf("site: %w", err)
	}
	limits := map[string]float64{}
	for _, bound := range bounds {
		m := regexp.MustCompile(`(?m)^` + bound + ` *= *([0-9.]+)`).FindSubmatch(text)
		if m == nil {
			return &BoundError{Site: site, Bound: bound}
		}
		if limits[bound], err = strconv.ParseFloat(string(m[1]), 64); err != nil {
			return fmt.Errorf("%s: %w", bound, err)
		}
	}
	var first, last int
	if _, err := fmt.Sscanf(seeds, "%d-%d", &first, &last); err != nil {
		return fmt.Errorf("seeds %q: %w", seeds, err)
	}
	dir, err := os.MkdirTemp("", "margins-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	// narrowest has the margins of all days, and of those on which the bounds applied to
	// all VMs all the time.
	narrowest := map[bool]map[string]float64{false: {}, true: {}}
	broken := 0
	for _, day := range days {
		for seed := first; seed <= last; seed++ {
			file := filepath.Join(dir, "report.json")
			args := []string{"run", site, day, "--seed", strconv.Itoa(seed), "--jobs", jobs, "--report", file, "--why", why}
			if vary {
				args = append(args, "--vary")
			}
			output, runErr := exec.Command(bench, args...).CombinedOutput()
			r, err := readReport(file)
			if err != nil {
				return fmt.Errorf("%s, seed %d: %w\n%s", day, seed, errors.Join(runErr, err), output)
			}
			fmt.Printf("%s seed %d: broken %v, %d VMs excused for a time", day, seed, r.Breaks, len(r.Touch.Out))
			broken += len(r.Breaks)
			for name, bound := range bounds {
				if times := r.Times[name]; len(times) > 0 {
					margin := limits[bound] - times[len(times)-1]
					for _, allBound := range []bool{false, true} {
						old, ok := narrowest[allBound][name]
						if (!ok || margin < old) && (!allBound || len(r.Touch.Out) == 0) {
							narrowest[allBound][name] = margin
						}
					}
					fmt.Printf("; %s: %.0f of %.0f ms left", name, margin, limits[bound])
				}
			}
			fmt.Println()
		}
	}
	fmt.Printf("%s: rules broken %d; narrowest margins in ms: %v, on days without excused VMs: %v\n", filepath.Base(site), broken, narrowest[false], narrowest[true])
	return nil
}

// readReport reads and removes a report.
func readReport(file string) (r report, err error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return r, err
	}
	if err := json.Unmarshal(data, &r); err != nil {
		return r, err
	}
	return r, os.Remove(file)
}
