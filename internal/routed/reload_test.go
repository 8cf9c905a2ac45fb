package routed

import (
	"bytes"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/api"
	"github.com/damaskshelf/damaskshelf/internal/metrics"
	"github.com/damaskshelf/damaskshelf/internal/placement"
	"github.com/damaskshelf/damaskshelf/internal/watch"
)

// overloadSettings returns settings of an instance with the given admission.
func overloadSettings(admission string) api.Settings {
	s := api.Settings{Instance: "i1", FailureDomain: "a", Routed: &api.Routed{Overload: api.Overload{Admission: admission}}}
	s.ApplyDefaults()
	return s
}

// Guards against a reload that doesn't apply the overload settings, and against settings of another kind of instance that
// replace the former ones.
func TestReloadAppliesOverloadSettings(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	log := hclog.New(&hclog.LoggerOptions{Output: &out})
	s := overloadSettings("")
	f := watch.New(watch.Deps{Log: hclog.NewNullLogger()})
	n := newListeningNode()
	n.parts.Log, n.parts.Placer, n.parts.Budgets = log, placement.NewClient("i1", "a", f, log), newBudgets(s, f, metrics.New(), log)
	n.settings.Store(&s)
	n.Reload(overloadSettings(api.AdmissionForecast))
	is.True(strings.Contains(out.String(), "admission=forecast"))
	is.True(strings.Contains(out.String(), "restart_needed=false"))
	is.Equal(n.settings.Load().Routed.Overload.Admission, api.AdmissionForecast)
	n.Reload(api.Settings{Instance: "i1"})
	is.True(strings.Contains(out.String(), "current settings stay in force"))
	is.Equal(n.settings.Load().Routed.Overload.Admission, api.AdmissionForecast)
}
