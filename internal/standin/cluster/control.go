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
	PathFault     = "/fault"          // POST FaultRequest
	PathCounters  = "/counters"       // GET Counters
	PathInstances = "/instances"      // POST wire.Instance adds or replaces a row; GET returns the list without lag
	PathInstance  = "/instances/{id}" // DELETE removes a row
)

// FaultRequest is the request body of PathFault.
type FaultRequest struct {
	Target  string       `json:"target"` // id of an engine or service instance, or one of the Target constants
	Fault   faults.Fault `json:"fault"`
	On      bool         `json:"on"`
	DelayMs int64        `json:"delay_ms,omitempty"` // of faults that delay; 0 selects faults.DefaultDelay
}

// Addrs holds the addresses that the stand-ins listen on. Engines and Services are keyed by id.
type Addrs struct {
	Objects   string            `json:"objects"`
	Instances string            `json:"instances"`
	Weights   string            `json:"weights"`
	Control   string            `json:"control,omitempty"`
	Engines   map[string]string `json:"engines"`
	Services  map[string]string `json:"services"`
}

// Counters holds the requests and executions that the stand-ins counted.
type Counters struct {
	Objects       objects.Counts             `json:"objects"`
	InstanceReads uint64                     `json:"instance_reads"`
	Weights       weights.Counts             `json:"weights"`
	Engines       map[string]engine.Counters `json:"engines"`
	RunsByRequest map[string]int             `json:"runs_by_request"` // of the plain service, by request id
	RunsByKey     map[string]int             `json:"runs_by_key"`     // of the plain service, by idempotency key
	Executions    []service.Execution        `json:"executions"`
}

// Addrs returns the addresses that the stand-ins listen on.
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

// Counters returns the current counts of all stand-ins.
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

// StartControl starts the control listener on addr. The caller closes the returned server.
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

// postFault handles a POST of PathFault.
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

// postInstance handles a POST of PathInstances.
func (c *Cluster) postInstance(ctx *fasthttp.RequestCtx) {
	var row wire.Instance
	if err := json.Unmarshal(ctx.PostBody(), &row); err != nil || row.ID == "" {
		ctx.Error("an instance needs an id", fasthttp.StatusBadRequest)
		return
	}
	c.Instances.Register(row)
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

// deleteInstance handles a DELETE of PathInstance.
func (c *Cluster) deleteInstance(ctx *fasthttp.RequestCtx) {
	c.Instances.Remove(serve.PathParam(ctx, "id"))
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}
