// Package cluster starts the stand-ins of a whole platform and its upstreams on loopback: object API,
// instance list, weight store, engines over failure domains and a booking service.
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

// ModelVersion is the version in which Config.Models are loaded.
const ModelVersion = "v1"

// Defaults of Config, and the host that stand-ins listen on.
const (
	DefaultServiceInstances = 3
	DefaultWeightRate       = 10
	DefaultWeightBurst      = 100

	host = "127.0.0.1"
)

// Targets of Switch beside the ids of engines and service instances.
const (
	TargetObjects   = "objects"
	TargetInstances = "instances"
	TargetWeights   = "weights"
)

// Config is the shape of a cluster.
type Config struct {
	Domains          []string `json:"domains"`
	Region           string   `json:"region"`
	EnginesPerDomain int      `json:"engines_per_domain"`
	Models           []string `json:"models"`   // loaded on every engine
	Service          string   `json:"service"`  // name of the plain service; none when empty
	Services         int      `json:"services"` // instances of it
	TimeScale        float64  `json:"time_scale"`
	Seed             uint64   `json:"seed"`
	BasePort         int      `json:"base_port"` // ports are given out from here on; 0: any free ones

	Engine       engine.Config `json:"engine"` // of every engine; ID, Models, TimeScale and Seed are set from the above
	InstanceLag  time.Duration `json:"instance_lag"`
	WeightRate   float64       `json:"weight_rate"` // gigabytes a second
	WeightBurst  float64       `json:"weight_burst"`
	WatchHistory int           `json:"watch_history"`
}

// Cluster is a running set of stand-ins.
type Cluster struct {
	Objects   *objects.Server
	Instances *instances.Server
	Weights   *weights.Server
	Engines   []*engine.Engine
	Services  []*service.Server
	Ledger    *service.Ledger // of the booking service

	cfg      Config
	nextPort int
}

// Start starts a cluster and lists its upstreams as live.
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

// addr gives the next address to listen on.
func (c *Cluster) addr() string {
	port := c.nextPort
	if port != 0 {
		c.nextPort++
	}
	return net.JoinHostPort(host, strconv.Itoa(port))
}

func (c *Cluster) startPlatform() error {
	var err error
	if c.Objects, err = objects.Start(c.addr(), objects.NewStore(c.cfg.WatchHistory)); err != nil {
		return fmt.Errorf("start object API: %w", err)
	}
	if c.Instances, err = instances.Start(c.addr(), c.cfg.InstanceLag); err != nil {
		return fmt.Errorf("start instance list: %w", err)
	}
	if c.Weights, err = weights.Start(c.addr(), c.cfg.WeightRate, c.cfg.WeightBurst); err != nil {
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

func (c *Cluster) startEngine(domain string, n int) error {
	cfg := c.cfg.Engine
	cfg.ID = fmt.Sprintf("engine-%s-%d", domain, n)
	cfg.TimeScale = c.cfg.TimeScale
	cfg.Seed = c.cfg.Seed + uint64(len(c.Engines))
	for _, model := range c.cfg.Models {
		cfg.Models = append(cfg.Models[:len(cfg.Models):len(cfg.Models)], upstream.LoadedModel{Model: model, Version: ModelVersion})
	}
	e, err := engine.Start(c.addr(), cfg)
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

func (c *Cluster) startServices() error {
	if c.cfg.Service == "" || len(c.cfg.Domains) == 0 {
		return nil
	}
	for n := range c.cfg.Services {
		id := fmt.Sprintf("%s-%d", c.cfg.Service, n)
		s, err := service.Start(c.addr(), id, c.Ledger)
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

// Engine gives the engine with that id, or nil.
func (c *Cluster) Engine(id string) *engine.Engine {
	for _, e := range c.Engines {
		if e.ID() == id {
			return e
		}
	}
	return nil
}

// ServiceInstance gives the service instance with that id, or nil.
func (c *Cluster) ServiceInstance(id string) *service.Server {
	for _, s := range c.Services {
		if s.ID() == id {
			return s
		}
	}
	return nil
}

// Switch turns a fault of one stand-in on or off.
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
