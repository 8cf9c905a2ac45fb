package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/damaskshelf/damaskshelf/platform/standin"
)

const (
	host   = "portal.example"
	apiKey = "n2ctnfzs989anu6wsjnb"
	tenant = "hule930"

	serviceEngines = "damask-modelo"
	servicePortal  = "portal-dossie"

	readyTimeout = 15 * time.Second
	graceTime    = 8 * time.Second // grace_s
)

var zones = []string{"poa-a", "poa-b", "poa-c"}

// world is a small deployment: a store, workers, and one instance in each zone.
type world struct {
	record    *record
	daemon    string
	dir       string
	store     *standin.Store
	storeAddr string // at which instances reach the store
	instances []*instance
	workers   []*worker
	nextPort  int
}

func newWorld(daemon string, r *record) (*world, error) {
	dir, err := os.MkdirTemp("", "review2")
	if err != nil {
		return nil, err
	}
	w := &world{record: r, daemon: daemon, dir: dir, nextPort: 22_000 + os.Getpid()%400*10}
	if w.store, err = standin.NewStore(); err != nil {
		return nil, err
	}
	w.storeAddr = w.store.Addr()
	return w, nil
}

// close ends all that the world has started.
func (w *world) close() {
	for _, i := range w.instances {
		i.end()
	}
	for _, k := range w.workers {
		k.crash()
	}
	w.store.Close()
	_ = os.RemoveAll(w.dir)
}

// putConfig writes a version of the configuration; keys maps keys to tenants.
func (w *world) putConfig(version int, keys map[string]string) {
	read := standin.Route{Name: "r-read", Host: host, PathPrefix: "/read/", Kind: "idempotent", Service: servicePortal, MaxAttempts: 2,
		Timeout: 10 * time.Second, TargetLatency: 150 * time.Millisecond}
	ask := standin.Route{Name: "r-ask", Host: host, PathPrefix: "/ask/", Kind: "streaming", Service: serviceEngines, MaxAttempts: 2, Resumable: true,
		Timeout: 10 * time.Second, TargetLatency: 300 * time.Millisecond, TargetGap: 200 * time.Millisecond}
	w.store.PutConfig(version, []standin.Route{read, ask}, []standin.Service{{Name: servicePortal}, {Name: serviceEngines, KVCacheTokens: 450_000}}, keys)
}

// addWorker starts a worker and registers it.
func (w *world) addWorker(service, zone string, reply reply) (*worker, error) {
	k, err := newWorker(fmt.Sprintf("i-%08x", 0x7f3a91c2+len(w.workers)), service, zone, w.record, reply)
	if err != nil {
		return nil, err
	}
	w.workers = append(w.workers, k)
	w.beat(k, 0)
	return k, nil
}

// beat writes a worker's entry.
func (w *world) beat(k *worker, sequence int) {
	w.store.Put("servers", k.id, map[string]any{
		"service": k.service, "address": k.addr(), "zone": k.zone, "version": "v1", "slots": 16, "state": "ready", "cold_left_ms": 0, "sequence": sequence,
		"born": k.born.UnixMilli(),
	})
}

// startInstances starts one instance in each zone and waits until all are ready.
func (w *world) startInstances() error {
	for n, zone := range zones {
		i, err := w.newInstance(fmt.Sprintf("edge-%s-%d", zone, n+1), zone)
		if err != nil {
			return err
		}
		w.instances = append(w.instances, i)
		if err := i.start(); err != nil {
			return err
		}
	}
	for _, i := range w.instances {
		for end := time.Now().Add(readyTimeout); !i.isReady(); time.Sleep(50 * time.Millisecond) {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", i.name)
			}
		}
	}
	time.Sleep(2 * time.Second) // the instances find each other
	return nil
}

// freeAddr returns a free loopback address below the range of outgoing ports.
func (w *world) freeAddr() (string, error) {
	for range 1000 {
		w.nextPort++
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", w.nextPort))
		if err == nil {
			return l.Addr().String(), l.Close()
		}
	}
	return "", errors.New("no free port")
}

// instance is a process of damaskshelfd.
type instance struct {
	name, front, ready, settings, daemon string
	cmd                                  *exec.Cmd
	exited                               chan struct{}
}

// newInstance writes the settings as deploy/settings.json.tmpl renders them, with loopback addresses.
func (w *world) newInstance(name, zone string) (*instance, error) {
	var addrs [4]string
	for n := range addrs {
		var err error
		if addrs[n], err = w.freeAddr(); err != nil {
			return nil, err
		}
	}
	regions := map[string]string{}
	for _, z := range zones {
		regions[z] = "sul-poa"
	}
	settings := map[string]any{
		"instance": name, "region": "sul-poa", "failure_domain": zone, "log_level": "info",
		"routed": map[string]any{
			"listen":     map[string]any{"callers": addrs[0], "ready": addrs[1], "peers": addrs[2], "metrics": addrs[3]},
			"ready_path": "/-/ready", "cpu_share": 0.4, "link_mbps": 1000.0, "regions": regions,
			"store":    map[string]any{"address": w.storeAddr, "config_within": "2000ms"},
			"limits":   map[string]any{"max_header_bytes": 20480, "memory_mb": 284, "max_descriptors": 4100},
			"retries":  map[string]any{"ratio": 0.2, "slack": 106},
			"overload": map[string]any{"admission": "forecast"},
			"stop":     map[string]any{"grace": graceTime.String()},
		},
	}
	raw, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return nil, err
	}
	i := &instance{name: name, front: addrs[0], ready: addrs[1], settings: filepath.Join(w.dir, name+".json"), daemon: w.daemon}
	return i, os.WriteFile(i.settings, raw, 0o600)
}

// start starts the process with the arguments of deploy/system.toml. Its log goes beside its settings.
func (i *instance) start() error {
	log, err := os.Create(i.settings + ".log")
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	i.cmd = exec.Command(i.daemon, "-settings", i.settings)
	i.cmd.Stdout, i.cmd.Stderr = log, log
	if err := i.cmd.Start(); err != nil {
		return err
	}
	exited, cmd := make(chan struct{}), i.cmd
	i.exited = exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

func (i *instance) signal(s syscall.Signal) { _ = i.cmd.Process.Signal(s) }

// end kills the process and waits for its end.
func (i *instance) end() {
	if i.cmd != nil && i.cmd.Process != nil {
		i.signal(syscall.SIGKILL)
		<-i.exited
	}
}

// isReady asks the process as the platform does.
func (i *instance) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + i.ready + "/-/ready")
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
