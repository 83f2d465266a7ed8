package entrycli

import (
	"bytes"
	"os"
	"time"

	"github.com/charmbracelet/log"

	"github.com/briarstand/briarstand/entry"
	"github.com/briarstand/briarstand/platform"
)

// reloadInterval is the time between two reads of the settings file, which may
// change without a signal.
const reloadInterval = 2 * time.Second

// reloader applies the settings file when it changes and at SIGHUP.
type reloader struct {
	path      string
	adminPort int
	daemon    *entry.Daemon
	logger    *log.Logger
	lastData  []byte // content at the last read, applied or refused; nil if the file could not be read
}

// start watches the file until stop is called.
func (r *reloader) start(sighups <-chan os.Signal) (stop func()) {
	done, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		ticker := time.NewTicker(reloadInterval)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-sighups:
				r.reload(true)
			case <-ticker.C:
				r.reload(false)
			}
		}
	}()
	return func() {
		close(done)
		<-stopped
	}
}

// reload applies the file if it has changed. With force it also applies an unchanged
// file. The current settings stay if the file cannot be read or has a value that is
// not allowed.
func (r *reloader) reload(force bool) {
	data, err := os.ReadFile(r.path)
	if err == nil && !force && bytes.Equal(data, r.lastData) {
		return
	}
	previous := r.lastData
	r.lastData = data
	var set *platform.Settings
	if err == nil {
		set, err = platform.ParseSettings(r.path, data)
	}
	if err != nil {
		// Without force, a file that stays unreadable is reported only once.
		if force || data != nil || previous != nil {
			r.logger.Error("settings not reloaded, the old ones stay", "file", r.path, "error", err.Error())
		}
		return
	}
	atNextStart := r.daemon.Reload(set.Entry(r.adminPort))
	r.logger.Info("settings reloaded", "file", r.path, "changed", !bytes.Equal(data, previous), "at_next_start", atNextStart)
}
