// Package local runs the stand-ins and several instances in one process on loopback. It assembles the instances with the
// same code as the daemon.
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
	host         = "127.0.0.1"
	anyPort      = host + ":0"
	callTimeout  = 10 * time.Second      // of an operator call, and of each wait of Start
	pollInterval = 10 * time.Millisecond // between two checks of an instance's state
)

// Config configures a local fleet.
type Config struct {
	Cluster      cluster.Config
	Instances    int
	Intent       api.Intent
	Log          hclog.Logger        // nil: the instances log nothing
	NewID        func() string       // returns request and write ids; nil: random UUIDs
	EditSettings func(*api.Settings) // edits each instance's settings before its start; may be nil
	Execute      execute.Config      // configures the executors; zero values select the defaults
}

// Fleet is a running local fleet.
type Fleet struct {
	Cluster *cluster.Cluster
	Nodes   []*node.Node
	cfg     Config
}

// Start starts the stand-ins and instances, and confirms the intent. It returns once every instance has the
// configuration in force.
func Start(cfg Config) (*Fleet, error) {
	c, err := cluster.Start(cfg.Cluster)
	if err != nil {
		return nil, err
	}
	f := &Fleet{Cluster: c, cfg: cfg}
	if err := f.startInstances(); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// startInstances starts the instances, applies the intent and waits until it is in force on all of them.
func (f *Fleet) startInstances() error {
	for i := range f.cfg.Instances {
		if _, err := f.AddInstance(fmt.Sprintf("entry-%d", i), f.cfg.Cluster.Domains[i%len(f.cfg.Cluster.Domains)]); err != nil {
			return err
		}
	}
	// A new instance has no engines until it has read the instance list. A plan made before that would be empty.
	if err := f.waitServing(callTimeout); err != nil {
		return err
	}
	version, err := f.Apply(api.Change{Intent: &f.cfg.Intent})
	if err != nil {
		return fmt.Errorf("confirm the intent: %w", err)
	}
	return f.WaitInForce(version, callTimeout)
}

// waitServing waits until every instance can route a prompt to every model of the intent. It fails after timeout.
func (f *Fleet) waitServing(timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for _, n := range f.Nodes {
		for !n.Serves(f.cfg.Intent) {
			if time.Now().After(deadline) {
				return fmt.Errorf("instance at %s doesn't see every model after %s", n.CallersAddr(), timeout)
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}

// Settings returns the settings of an instance of this fleet, with shorter intervals than the defaults.
func (f *Fleet) Settings(name, domain string) api.Settings {
	addrs := f.Cluster.Addrs()
	s := api.Settings{
		Instance: name, Region: f.cfg.Cluster.Region, FailureDomain: domain,
		Listen:   api.Listen{Callers: anyPort, Operators: anyPort, Peers: anyPort},
		Platform: api.Platform{Objects: addrs.Objects, Instances: addrs.Instances, Weights: addrs.Weights},
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

// AddInstance starts one more instance and registers it in the instance list.
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

// Apply proposes and confirms a change through the first instance, and returns the new configuration's version.
func (f *Fleet) Apply(change api.Change) (uint64, error) {
	plansURL := "http://" + f.Nodes[0].OperatorsAddr() + "/v1/plans"
	var plan api.Plan
	if err := postJSON(plansURL, change, &plan); err != nil {
		return 0, fmt.Errorf("propose: %w", err)
	}
	var confirmation api.Confirmation
	if err := postJSON(plansURL+"/"+plan.ID+"/confirm", nil, &confirmation); err != nil {
		return 0, fmt.Errorf("confirm plan %s: %w", plan.ID, err)
	}
	return confirmation.ConfigVersion, nil
}

// WaitInForce waits until every instance has that configuration version or a later one in force. It fails after timeout.
func (f *Fleet) WaitInForce(version uint64, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for _, n := range f.Nodes {
		for n.ConfigVersion() < version {
			if time.Now().After(deadline) {
				return fmt.Errorf("instance at %s is at configuration version %d, not %d", n.CallersAddr(), n.ConfigVersion(), version)
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}

// Close kills all instances concurrently and then closes the stand-ins.
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

// postJSON sends in as JSON, or an empty body if in is nil, and decodes the answer into out.
func postJSON(url string, in, out any) error {
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
	if err := fasthttp.DoTimeout(req, resp, callTimeout); err != nil {
		return err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return fmt.Errorf("status %d: %s", resp.StatusCode(), resp.Body())
	}
	return json.Unmarshal(resp.Body(), out)
}
