package main

import (
	"bytes"
	"context"
	"os"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/damaskshelf/damaskshelf/api"
)

// pollInterval is the interval at which the settings file is checked, as it may change without a signal.
const pollInterval = 2 * time.Second

// reloader applies the settings file when it has changed. It doesn't apply an invalid file: the settings in force stay,
// and a log line reports the path of the file and the error.
type reloader struct {
	path     string
	lastRead []byte // content of the file when it was last read; empty: not read yet
	apply    func(api.Settings)
	log      hclog.Logger
}

// run checks the file on each signal and every pollInterval until ctx ends.
func (r *reloader) run(ctx context.Context, signals <-chan os.Signal) {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		select {
		case <-signals:
			r.reloadIfChanged(true)
		case <-tick.C:
			r.reloadIfChanged(false)
		case <-ctx.Done():
			return
		}
	}
}

// reloadIfChanged reads the file, and applies it if it differs from lastRead. requested means that a signal caused the
// check; in that case an unreadable or unchanged file is logged as well.
func (r *reloader) reloadIfChanged(requested bool) {
	data, err := os.ReadFile(r.path)
	if err != nil {
		if requested {
			r.log.Error("settings file cannot be read; the settings in force stay", "error", err)
		}
		return
	}
	if bytes.Equal(data, r.lastRead) {
		if requested {
			r.log.Info("settings have not changed")
		}
		return
	}
	r.lastRead = data
	s, err := api.ParseSettings(data)
	if err != nil {
		r.log.Error("settings are invalid; the settings in force stay", "path", r.path, "error", err)
		return
	}
	r.apply(s)
}
