// Package local runs the stand-ins and several entry instances in one process on loopback, through the
// same assembly as the daemon.
package local

import (
	"bytes"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/valyala/fasthttp"

	"github.com/damaskshelf/damaskshelf/api"
	"github.com/damaskshelf/damaskshelf/internal/execute"
	"github.com/damaskshelf/damaskshelf/internal/node"
	platform "github.com/damaskshelf/damaskshelf/internal/objects/wire"
	"github.com/damaskshelf/damaskshelf/internal/standin/cluster"
)

const (
	host     = "127.0.0.1"
	anyPort  = host + ":0"
	callTime = 10 * time.Second
	poll     = 10 * time.Millisecond
)

// Config is the shape of a local fleet.
type Config struct {
	Cluster      cluster.Config
	Instances    int
	Intent       api.Intent
	Log          hclog.Logger // nil: none
	NewID        func() string
	EditSettings func(*api.Settings) // changes each instance's settings; may be nil
	Execute      execute.Config      // times of the executors; zero values: the defaults
}

// Fleet is a running local fleet.
type Fleet struct {
	Cluster *cluster.Cluster
	Nodes   []*node.Node
	cfg     Config
}

// Start starts the stand-ins and instances, and confirms the intent; it returns once every instance has it
// in force.
func Start(cfg Config) (*Fleet, error) {
	c, err := cluster.Start(cfg.Cluster)
	if err != nil {
		return nil, err
	}
	f := &Fleet{Cluster: c, cfg: cfg}
	if err := f.start(); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start() error {
	for i := range f.cfg.Instances {
		if _, err := f.AddInstance(fmt.Sprintf("entry-%d", i), f.cfg.Cluster.Domains[i%len(f.cfg.Cluster.Domains)]); err != nil {
			return err
		}
	}
	// A fresh instance sees no engine until it has read the instance list; a plan made before would be empty.
	if err := f.waitServing(callTime); err != nil {
		return err
	}
	version, err := f.Apply(api.Change{Intent: &f.cfg.Intent})
	if err != nil {
		return fmt.Errorf("confirm the intent: %w", err)
	}
	return f.WaitInForce(version, callTime)
}

// waitServing waits until a prompt to every model can be routed on every instance.
func (f *Fleet) waitServing(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, n := range f.Nodes {
		for !n.Serves(f.cfg.Intent) {
			if time.Now().After(deadline) {
				return fmt.Errorf("instance at %s doesn't see every model after %s", n.CallersAddr(), limit)
			}
			time.Sleep(poll)
		}
	}
	return nil
}

// Settings gives the settings of an instance of this fleet.
func (f *Fleet) Settings(name, domain string) api.Settings {
	a := f.Cluster.Addrs()
	s := api.Settings{
		Instance: name, Region: f.cfg.Cluster.Region, FailureDomain: domain,
		Listen:   api.Listen{Callers: anyPort, Operators: anyPort, Peers: anyPort},
		Platform: api.Platform{Objects: a.Objects, Instances: a.Instances, Weights: a.Weights},
	}
	s.ApplyDefaults()
	s.Intervals.InstanceList = api.Duration(50 * time.Millisecond)
	s.Intervals.LoadReport = api.Duration(50 * time.Millisecond)
	s.Intervals.Heartbeat = api.Duration(50 * time.Millisecond)
	s.Intervals.BalancerLag = api.Duration(100 * time.Millisecond)
	if f.cfg.EditSettings != nil {
		f.cfg.EditSettings(&s)
	}
	return s
}

// Add starts one more instance and lists it.
func (f *Fleet) AddInstance(name, domain string) (*node.Node, error) {
	s := f.Settings(name, domain)
	if err := s.Validate(); err != nil {
		return nil, err
	}
	n, err := node.New(s, node.Options{Log: f.cfg.Log, NewID: f.cfg.NewID, Execute: f.cfg.Execute})
	if err != nil {
		return nil, err
	}
	if err := n.Start(); err != nil {
		return nil, err
	}
	f.Nodes = append(f.Nodes, n)
	f.Cluster.Instances.Register(platform.Instance{
		ID: name, Kind: platform.KindEntry, Addr: n.CallersAddr(), PeerAddr: n.PeersAddr(),
		Domain: domain, Region: f.cfg.Cluster.Region, State: platform.StateLive,
	})
	return n, nil
}

// Apply proposes and confirms a change through the first instance, and gives the configuration's version.
func (f *Fleet) Apply(change api.Change) (uint64, error) {
	base := "http://" + f.Nodes[0].OperatorsAddr() + "/v1/plans"
	var plan api.Plan
	if err := post(base, change, &plan); err != nil {
		return 0, fmt.Errorf("propose: %w", err)
	}
	var done api.Confirmation
	if err := post(base+"/"+plan.ID+"/confirm", nil, &done); err != nil {
		return 0, fmt.Errorf("confirm plan %s: %w", plan.ID, err)
	}
	return done.ConfigVersion, nil
}

// WaitInForce waits until every instance has that configuration version in force.
func (f *Fleet) WaitInForce(version uint64, limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, n := range f.Nodes {
		for n.ConfigVersion() < version {
			if time.Now().After(deadline) {
				return fmt.Errorf("instance at %s is at configuration version %d, not %d", n.CallersAddr(), n.ConfigVersion(), version)
			}
			time.Sleep(poll)
		}
	}
	return nil
}

// Close stops the instances at once and then the stand-ins.
func (f *Fleet) Close() {
	var wg sync.WaitGroup
	for _, n := range f.Nodes {
		wg.Add(1)
		go func() {
			defer wg.Done()
			n.Kill()
		}()
	}
	wg.Wait()
	f.Cluster.Close()
}

func post(url string, in, out any) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(url)
	req.Header.SetMethod(fasthttp.MethodPost)
	if in != nil {
		var body bytes.Buffer
		if err := json.NewEncoder(&body).Encode(in); err != nil {
			return err
		}
		req.SetBodyRaw(body.Bytes())
	}
	if err := fasthttp.DoTimeout(req, resp, callTime); err != nil {
		return err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return fmt.Errorf("status %d: %s", resp.StatusCode(), resp.Body())
	}
	return json.Unmarshal(resp.Body(), out)
}
