package cluster

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"github.com/damaskshelf/damaskshelf/internal/objects/wire"
	"github.com/damaskshelf/damaskshelf/internal/standin/engine"
	"github.com/damaskshelf/damaskshelf/internal/standin/faults"
	"github.com/damaskshelf/damaskshelf/internal/standin/objects"
	"github.com/damaskshelf/damaskshelf/internal/standin/serve"
	"github.com/damaskshelf/damaskshelf/internal/standin/service"
	"github.com/damaskshelf/damaskshelf/internal/standin/weights"
)

// Paths of the control listener.
const (
	PathFault     = "/fault"          // POST FaultCall
	PathCounters  = "/counters"       // GET Counters
	PathInstances = "/instances"      // POST wire.Instance registers or replaces a row; GET lists without lag
	PathInstance  = "/instances/{id}" // DELETE takes a row off the list
)

// FaultCall is the body of PathFault.
type FaultRequest struct {
	Target  string       `json:"target"` // id of an engine or service instance, or one of the Target constants
	Fault   faults.Fault `json:"fault"`
	On      bool         `json:"on"`
	DelayMs int64        `json:"delay_ms,omitempty"` // of faults that wait; 0: faults.DefaultDelay
}

// Addrs is where the stand-ins listen.
type Addrs struct {
	Objects   string            `json:"objects"`
	Instances string            `json:"instances"`
	Weights   string            `json:"weights"`
	Control   string            `json:"control,omitempty"`
	Engines   map[string]string `json:"engines"`
	Services  map[string]string `json:"services"`
}

// Counters is what the stand-ins saw.
type Counters struct {
	Objects       objects.Counts             `json:"objects"`
	InstanceReads uint64                     `json:"instance_reads"`
	Weights       weights.Counts             `json:"weights"`
	Engines       map[string]engine.Counters `json:"engines"`
	RunsByRequest map[string]int             `json:"runs_by_request"` // of the plain service
	RunsByKey     map[string]int             `json:"runs_by_key"`
	Executions    []service.Execution        `json:"executions"`
}

// Addrs gives where the stand-ins listen.
func (c *Cluster) Addrs() Addrs {
	addrs := Addrs{
		Objects: c.Objects.Addr(), Instances: c.Instances.Addr(), Weights: c.Weights.Addr(),
		Engines: map[string]string{}, Services: map[string]string{},
	}
	for _, e := range c.Engines {
		addrs.Engines[e.ID()] = e.Addr()
	}
	for _, s := range c.Services {
		addrs.Services[s.ID()] = s.Addr()
	}
	return addrs
}

// Counters gives what the stand-ins saw so far.
func (c *Cluster) Counters() Counters {
	counters := Counters{
		Objects: c.Objects.Counts(), InstanceReads: c.Instances.ReadCount(), Weights: c.Weights.Counts(),
		Engines:       map[string]engine.Counters{},
		RunsByRequest: c.Ledger.RunsByRequest(), RunsByKey: c.Ledger.RunsByKey(), Executions: c.Ledger.Executions(),
	}
	for _, e := range c.Engines {
		counters.Engines[e.ID()] = e.Counters()
	}
	return counters
}

// ServeControl serves the control listener on addr.
func (c *Cluster) StartControl(addr string) (*serve.Server, error) {
	r := router.New()
	r.POST(PathFault, c.postFault)
	r.GET(PathCounters, func(ctx *fasthttp.RequestCtx) { serve.JSON(ctx, fasthttp.StatusOK, c.Counters()) })
	r.GET(PathInstances, func(ctx *fasthttp.RequestCtx) { serve.JSON(ctx, fasthttp.StatusOK, c.Instances.List()) })
	r.POST(PathInstances, c.postInstance)
	r.DELETE(PathInstance, c.deleteInstance)
	s, err := serve.Start(addr, r.Handler)
	if err != nil {
		return nil, fmt.Errorf("start control listener: %w", err)
	}
	return s, nil
}

func (c *Cluster) postFault(ctx *fasthttp.RequestCtx) {
	var call FaultRequest
	if err := json.Unmarshal(ctx.PostBody(), &call); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if err := c.Switch(call.Target, call.Fault, call.On, time.Duration(call.DelayMs)*time.Millisecond); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

func (c *Cluster) postInstance(ctx *fasthttp.RequestCtx) {
	var row wire.Instance
	if err := json.Unmarshal(ctx.PostBody(), &row); err != nil || row.ID == "" {
		ctx.Error("an instance needs an id", fasthttp.StatusBadRequest)
		return
	}
	c.Instances.Register(row)
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

func (c *Cluster) deleteInstance(ctx *fasthttp.RequestCtx) {
	c.Instances.Remove(serve.PathParam(ctx, "id"))
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}
