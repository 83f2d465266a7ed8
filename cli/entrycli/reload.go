package entrycli

import (
	"bytes"
	"os"
	"time"

	"github.com/charmbracelet/log"

	"github.com/briarstand/briarstand/entry"
	"github.com/briarstand/briarstand/platform"
)

// reloadEvery is how often the settings file is read again, as it may change
// without a signal.
const reloadEvery = 2 * time.Second

// reloader takes over the settings file when it changes and at SIGHUP.
type reloader struct {
	path      string
	adminPort int
	daemon    *entry.Daemon
	logger    *log.Logger
	last      []byte // what was taken over or refused last
}

// start follows the file until stop is called.
func (r *reloader) start(hangups <-chan os.Signal) (stop func()) {
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		ticker := time.NewTicker(reloadEvery)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-hangups:
				r.reload(true)
			case <-ticker.C:
				r.reload(false)
			}
		}
	}()
	return func() {
		close(done)
		<-ended
	}
}

// reload takes over the file if it has changed, or in any case. One that cannot
// be read or has a value that is not allowed leaves the settings in force.
func (r *reloader) reload(always bool) {
	data, err := os.ReadFile(r.path)
	if err == nil && !always && bytes.Equal(data, r.last) {
		return
	}
	known := r.last
	r.last = data
	var set *platform.Settings
	if err == nil {
		set, err = platform.ParseSettings(r.path, data)
	}
	if err != nil {
		// A file that stays away is reported once.
		if always || data != nil || known != nil {
			r.logger.Error("settings not reloaded, the old ones stay", "file", r.path, "error", err.Error())
		}
		return
	}
	atNextStart := r.daemon.Reload(set.Entry(r.adminPort))
	r.logger.Info("settings reloaded", "file", r.path, "changed", !bytes.Equal(data, known), "at_next_start", atNextStart)
}
