package main

import (
	"bytes"
	"context"
	"os"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/damaskshelf/damaskshelf/api"
)

// lookEvery is how often the settings file is looked at: it may change without a signal.
const lookEvery = 2 * time.Second

// reloader reads the settings file again when it has changed. A bad file is kept out: the settings in force
// stay, and a line says what is wrong and where.
type reloader struct {
	path  string
	seen  []byte // as last read
	apply func(api.Settings)
	log   hclog.Logger
}

// run looks at the file on each signal, and every lookEvery, until ctx ends.
func (r *reloader) run(ctx context.Context, signals <-chan os.Signal) {
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	for {
		select {
		case <-signals:
			r.look(true)
		case <-tick.C:
			r.look(false)
		case <-ctx.Done():
			return
		}
	}
}

// look reads the file, and applies it if it differs from what was last read. asked tells that a signal asked
// for it, which is answered by a line in any case.
func (r *reloader) look(asked bool) {
	data, err := os.ReadFile(r.path)
	if err != nil {
		if asked {
			r.log.Error("settings can't be read: those in force stay", "error", err)
		}
		return
	}
	if bytes.Equal(data, r.seen) {
		if asked {
			r.log.Info("settings have not changed")
		}
		return
	}
	r.seen = data
	s, err := api.ParseSettings(data)
	if err != nil {
		r.log.Error("settings are bad: those in force stay", "path", r.path, "error", err)
		return
	}
	r.apply(s)
}
