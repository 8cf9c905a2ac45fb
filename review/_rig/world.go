package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/damaskshelf/damaskshelf/platform/standin"
)

// Names of the deployment asrq-damask, and of a day.
const (
	callersHost   = "ficu95.example"
	plainService  = "portal-dossie"
	modelService  = "damask-modelo"
	workspace     = "hule930"
	apiKey        = "n2ctnfzs989anu6wsjnb"
	statusPrefix  = "/cuti104/"
	fileGrace     = 8 * time.Second // grace_s
	readyTimeout  = 20 * time.Second
	pollInterval  = 50 * time.Millisecond
	recordTimeFmt = "%8.3f s  "
)

// zones are the failure domains of the deployment.
var zones = []string{"poa-a", "poa-b", "poa-c"}

// recorder writes what was sent, answered and run, with the time since the start.
type recorder struct {
	start time.Time
	mu    sync.Mutex
	file  *os.File
}

// linef writes a line.
func (r *recorder) linef(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, recordTimeFmt+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// world is one deployment: a store, workers and daemons.
type world struct {
	rec     *recorder
	dir     string
	path    string // of the daemon's program
	store   *standin.Store
	workers []*standin.Worker
	daemons []*daemon
	ports   map[int]bool // that were given to daemons
}

// newWorld starts a store.
func newWorld(path, out string) (*world, error) {
	if _, err := os.Stat(path); err != nil {
		return nil, err
	}
	file, err := os.Create(out)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	store, err := standin.NewStore()
	if err != nil {
		return nil, err
	}
	return &world{rec: &recorder{start: time.Now(), file: file}, dir: dir, path: path, store: store, ports: map[int]bool{}}, nil
}

// close ends all processes and stand-ins.
func (w *world) close() {
	for _, d := range w.daemons {
		d.kill()
	}
	for _, k := range w.workers {
		k.Close()
	}
	w.store.Close()
	_ = os.RemoveAll(w.dir)
	_ = w.rec.file.Close()
}

// route is a route of the configuration.
type route map[string]any

// plainRoute returns a route of the plain service.
func plainRoute(name, prefix, kind string, timeout, target time.Duration, attempts int) route {
	return route{
		"name": name, "host": callersHost, "path_prefix": prefix, "kind": kind, "timeout_ms": timeout.Milliseconds(),
		"target_latency_ms": target.Milliseconds(), "priority": 2, "service": plainService, "max_attempts": attempts, "public": false,
	}
}

// putConfig writes the first configuration.
func (w *world) putConfig(routes ...route) {
	w.store.Put("config", "main", map[string]any{
		"version": 7, "routes": routes,
		"services": []any{
			map[string]any{"name": plainService, "health_path": "/health", "max_conns": 52, "cold_start_s": 0.0, "cold_per_s": 0.0},
			map[string]any{"name": modelService, "health_path": "/health", "max_conns": 344, "cold_start_s": 3.0, "cold_per_s": 36.0},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": workspace, "api_keys": []string{apiKey}, "priority": 1}},
	})
}

// addWorker starts a worker of the plain service and registers it.
func (w *world) addWorker(id, zone string) (*standin.Worker, error) {
	k, err := standin.NewWorker(id)
	if err != nil {
		return nil, err
	}
	w.workers = append(w.workers, k)
	w.store.Put("servers", id, map[string]any{
		"service": plainService, "address": k.Addr(), "zone": zone, "version": "v1", "slots": 6, "state": "ready", "cold_left_ms": 0, "sequence": 1,
		"born": time.Now().UnixMilli(),
	})
	return k, nil
}

// daemon is an instance in a process of its own.
type daemon struct {
	name, callers, ready string
	settings             string
	log                  *os.File
	cmd                  *exec.Cmd
	exited               chan struct{} // closed when the process has ended
	exitedAt             time.Time     // valid once exited is closed
}

// Ports of the daemons lie below the range that the system gives to outgoing connections, so that none of these takes one
// before its daemon binds it.
const (
	minPort   = 20_000
	portCount = 10_000
	portTries = 200
)

// freeAddr returns a free loopback address that it hasn't returned before.
func (w *world) freeAddr() (string, error) {
	for range portTries {
		port := minPort + rand.IntN(portCount)
		if w.ports[port] {
			continue
		}
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		w.ports[port] = true
		return l.Addr().String(), l.Close()
	}
	return "", errors.New("no free port")
}

// addDaemon starts an instance with the command of the deploy file. Its settings are those that the deploy file's
// template yields for a machine of the deployment, on loopback addresses.
func (w *world) addDaemon(zone string) (*daemon, error) {
	d := &daemon{name: "edge-" + zone + "-1"}
	addrs := make([]string, 4)
	for i := range addrs {
		a, err := w.freeAddr()
		if err != nil {
			return nil, err
		}
		addrs[i] = a
	}
	d.callers, d.ready = addrs[0], addrs[1]
	regions := map[string]string{}
	for _, z := range zones {
		regions[z] = "sul-poa"
	}
	raw, err := json.MarshalIndent(map[string]any{
		"instance": d.name, "region": "sul-poa", "failure_domain": zone, "log_level": "info",
		"routed": map[string]any{
			"listen":     map[string]any{"callers": addrs[0], "ready": addrs[1], "peers": addrs[2], "metrics": addrs[3]},
			"ready_path": "/-/ready", "cpu_share": 0.4, "link_mbps": 1000.0, "regions": regions,
			"store":   map[string]any{"address": w.store.Addr(), "config_within": "2000ms"},
			"limits":  map[string]any{"max_header_bytes": 20480, "memory_mb": 284, "max_descriptors": 4100},
			"retries": map[string]any{"ratio": 0.2, "slack": 106},
			"stop":    map[string]any{"grace": "8s"},
		},
	}, "", "  ")
	if err != nil {
		return nil, err
	}
	d.settings = filepath.Join(w.dir, d.name+".json")
	if err := os.WriteFile(d.settings, raw, 0o600); err != nil {
		return nil, err
	}
	if d.log, err = os.Create(filepath.Join(w.dir, d.name+".log")); err != nil {
		return nil, err
	}
	w.daemons = append(w.daemons, d)
	return d, d.start(w)
}

// start starts the process.
func (d *daemon) start(w *world) error {
	cmd := exec.Command(w.path, "-settings", d.settings)
	cmd.Stdout, cmd.Stderr = d.log, d.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	d.cmd, d.exited = cmd, make(chan struct{})
	w.rec.linef("%s starts", d.name)
	go func() {
		_ = cmd.Wait()
		d.exitedAt = time.Now()
		w.rec.linef("%s has ended: %s", d.name, cmd.ProcessState)
		close(d.exited)
	}()
	return nil
}

// kill ends the process if it still runs.
func (d *daemon) kill() {
	if d.cmd == nil {
		return
	}
	_ = d.cmd.Process.Signal(syscall.SIGCONT)
	_ = d.cmd.Process.Kill()
	<-d.exited
	_ = d.log.Close()
}

// awaitReady waits until every instance says that it is ready and serves a request for the path.
func (w *world) awaitReady(path string) error {
	deadline := time.Now().Add(readyTimeout)
	for _, d := range w.daemons {
		for !isReady(d.ready) || !w.serves(d, path) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s does not serve", d.name)
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}

// isReady asks as the platform does.
func isReady(addr string) bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + addr + "/-/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// serves reports whether an instance answers a request with success.
func (w *world) serves(d *daemon, path string) bool {
	c, err := dialClient(d.callers)
	if err != nil {
		return false
	}
	defer c.close()
	a, err := c.do(http.MethodGet, path, newAttemptID(), 2*time.Second)
	return err == nil && a.status == http.StatusOK
}

// errNoAnswer reports a connection that ended before an answer.
var errNoAnswer = errors.New("connection ended without an answer")
