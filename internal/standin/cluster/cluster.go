// Package cluster starts stand-ins of the platform and its upstreams on loopback: the object API, the instance list,
// the weight store, engines in several failure domains, and the instances of a booking service.
package cluster

import (
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/objects/wire"
	"github.com/damaskshelf/damaskshelf/internal/standin/engine"
	"github.com/damaskshelf/damaskshelf/internal/standin/faults"
	"github.com/damaskshelf/damaskshelf/internal/standin/instances"
	"github.com/damaskshelf/damaskshelf/internal/standin/objects"
	"github.com/damaskshelf/damaskshelf/internal/standin/service"
	"github.com/damaskshelf/damaskshelf/internal/standin/weights"
	upstream "github.com/damaskshelf/damaskshelf/internal/upstream/wire"
)

// ModelVersion is the version of every model in Config.Models.
const ModelVersion = "v1"

// Defaults of Config, and the host that stand-ins listen on.
const (
	DefaultServiceInstances = 3
	DefaultWeightRate       = 10  // GB per second
	DefaultWeightBurst      = 100 // GB

	host = "127.0.0.1"
)

// Targets of Switch other than the ids of engines and service instances.
const (
	TargetObjects   = "objects"
	TargetInstances = "instances"
	TargetWeights   = "weights"
)

// Config sets the size of a cluster and the behavior of its stand-ins.
type Config struct {
	Domains          []string `json:"domains"`
	Region           string   `json:"region"`
	EnginesPerDomain int      `json:"engines_per_domain"`
	Models           []string `json:"models"`     // loaded on every engine
	Service          string   `json:"service"`    // name of the plain service; if empty, no service runs
	Services         int      `json:"services"`   // number of instances of Service
	TimeScale        float64  `json:"time_scale"` // engine seconds per second of wall-clock time; 0 means 1
	Seed             uint64   `json:"seed"`
	BasePort         int      `json:"base_port"` // first port, the others follow in order; 0 selects any free ports

	Engine       engine.Config `json:"engine"`        // of every engine; Start sets its ID, Models, TimeScale and Seed
	InstanceLag  time.Duration `json:"instance_lag"`  // delay before the instance list shows a change
	WeightRate   float64       `json:"weight_rate"`   // GB per second
	WeightBurst  float64       `json:"weight_burst"`  // GB
	WatchHistory int           `json:"watch_history"` // number of changes that the object API keeps for watches
}

// Cluster is a running set of stand-ins.
type Cluster struct {
	Objects   *objects.Server
	Instances *instances.Server
	Weights   *weights.Server
	Engines   []*engine.Engine
	Services  []*service.Server
	Ledger    *service.Ledger // executions of the booking service

	cfg      Config
	nextPort int
}

// Start starts a cluster and registers its engines and service instances in the instance list. If a stand-in fails to
// start, Start stops those already running.
func Start(cfg Config) (*Cluster, error) {
	c := &Cluster{cfg: withDefaults(cfg), nextPort: cfg.BasePort, Ledger: &service.Ledger{}}
	for _, start := range []func() error{c.startPlatform, c.startEngines, c.startServices} {
		if err := start(); err != nil {
			c.Close()
			return nil, err
		}
	}
	return c, nil
}

// withDefaults returns cfg with the defaults in place of zero values.
func withDefaults(cfg Config) Config {
	if cfg.Services == 0 {
		cfg.Services = DefaultServiceInstances
	}
	if cfg.WeightRate == 0 {
		cfg.WeightRate = DefaultWeightRate
	}
	if cfg.WeightBurst == 0 {
		cfg.WeightBurst = DefaultWeightBurst
	}
	if cfg.WatchHistory == 0 {
		cfg.WatchHistory = objects.DefaultHistorySize
	}
	return cfg
}

// nextAddr returns the address for the next stand-in to listen on.
func (c *Cluster) nextAddr() string {
	port := c.nextPort
	if port != 0 {
		c.nextPort++
	}
	return net.JoinHostPort(host, strconv.Itoa(port))
}

// startPlatform starts the object API, the instance list and the weight store.
func (c *Cluster) startPlatform() error {
	var err error
	if c.Objects, err = objects.Start(c.nextAddr(), objects.NewStore(c.cfg.WatchHistory)); err != nil {
		return fmt.Errorf("start object API: %w", err)
	}
	if c.Instances, err = instances.Start(c.nextAddr(), c.cfg.InstanceLag); err != nil {
		return fmt.Errorf("start instance list: %w", err)
	}
	if c.Weights, err = weights.Start(c.nextAddr(), c.cfg.WeightRate, c.cfg.WeightBurst); err != nil {
		return fmt.Errorf("start weight store: %w", err)
	}
	return nil
}

func (c *Cluster) startEngines() error {
	for _, domain := range c.cfg.Domains {
		for n := range c.cfg.EnginesPerDomain {
			if err := c.startEngine(domain, n); err != nil {
				return err
			}
		}
	}
	return nil
}

// startEngine starts the nth engine of a failure domain and registers it. Its seed differs from that of every other
// engine.
func (c *Cluster) startEngine(domain string, n int) error {
	cfg := c.cfg.Engine
	cfg.ID = fmt.Sprintf("engine-%s-%d", domain, n)
	cfg.TimeScale = c.cfg.TimeScale
	cfg.Seed = c.cfg.Seed + uint64(len(c.Engines))
	for _, model := range c.cfg.Models {
		cfg.Models = append(cfg.Models[:len(cfg.Models):len(cfg.Models)], upstream.LoadedModel{Model: model, Version: ModelVersion})
	}
	e, err := engine.Start(c.nextAddr(), cfg)
	if err != nil {
		return fmt.Errorf("start %s: %w", cfg.ID, err)
	}
	c.Engines = append(c.Engines, e)
	c.Instances.Register(wire.Instance{
		ID: e.ID(), Kind: wire.KindEngine, Addr: e.Addr(), Domain: domain, Region: c.cfg.Region,
		Fencing: e.Fencing(), KVCacheTokens: e.KVCacheTokens(),
	})
	return nil
}

// startServices starts the service instances, distributed over the failure domains in turn, and registers them.
func (c *Cluster) startServices() error {
	if c.cfg.Service == "" || len(c.cfg.Domains) == 0 {
		return nil
	}
	for n := range c.cfg.Services {
		id := fmt.Sprintf("%s-%d", c.cfg.Service, n)
		s, err := service.Start(c.nextAddr(), id, c.Ledger)
		if err != nil {
			return fmt.Errorf("start %s: %w", id, err)
		}
		c.Services = append(c.Services, s)
		c.Instances.Register(wire.Instance{
			ID: id, Kind: wire.KindService, Addr: s.Addr(), Domain: c.cfg.Domains[n%len(c.cfg.Domains)],
			Region: c.cfg.Region, Service: c.cfg.Service,
		})
	}
	return nil
}

// Engine returns the engine with the id, or nil if there is none.
func (c *Cluster) Engine(id string) *engine.Engine {
	for _, e := range c.Engines {
		if e.ID() == id {
			return e
		}
	}
	return nil
}

// ServiceInstance returns the service instance with the id, or nil if there is none.
func (c *Cluster) ServiceInstance(id string) *service.Server {
	for _, s := range c.Services {
		if s.ID() == id {
			return s
		}
	}
	return nil
}

// Switch turns a fault of one stand-in on or off. The target is one of the Target constants, or the id of an engine or
// service instance.
func (c *Cluster) Switch(target string, f faults.Fault, on bool, delay time.Duration) error {
	switch target {
	case TargetObjects:
		return c.Objects.Switch(f, on, delay)
	case TargetInstances:
		return c.Instances.Switch(f, on, delay)
	case TargetWeights:
		return c.Weights.Switch(f, on, delay)
	}
	if e := c.Engine(target); e != nil {
		return e.Switch(f, on, delay)
	}
	if s := c.ServiceInstance(target); s != nil {
		return s.Switch(f, on, delay)
	}
	return fmt.Errorf("no stand-in is called %q", target)
}

// Close stops all stand-ins.
func (c *Cluster) Close() {
	for _, s := range c.Services {
		s.Close()
	}
	for _, e := range c.Engines {
		e.Close()
	}
	if c.Weights != nil {
		c.Weights.Close()
	}
	if c.Instances != nil {
		c.Instances.Close()
	}
	if c.Objects != nil {
		c.Objects.Close()
	}
}
