package e2e_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/damaskshelf/damaskshelf/api"
	"github.com/damaskshelf/damaskshelf/internal/objects/wire"
	"github.com/damaskshelf/damaskshelf/internal/standin/cluster"
	"github.com/damaskshelf/damaskshelf/internal/standin/engine"
	"github.com/damaskshelf/damaskshelf/internal/standin/faults"
	"github.com/damaskshelf/damaskshelf/internal/standin/rawhttp"
)

// Names and parameters of every fleet.
const (
	model        = "guide"
	bookdesk     = "bookdesk"
	region       = "sask-plains"
	timeScale    = 10                     // speed of the stand-in engines relative to the wall clock
	coldLimit    = 2                      // requests in flight that a cold engine can bear
	balancerLag  = 500 * time.Millisecond // time until the balancer stops sending to an instance that is not ready
	waitTimeout  = 60 * time.Second       // fails a wait that hangs
	pollInterval = 20 * time.Millisecond
	logTailBytes = 3_000 // bytes of a daemon's log shown on failure
)

var domains = []string{"north-ice", "mid-ice", "south-ice"}

// programDir holds the executables of the daemon and of the stand-ins, which TestMain builds.
var programDir string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

// buildAndRun builds the executables, runs the tests and returns the exit status.
func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "e2e")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	programDir = dir
	args := append([]string{"build"}, buildFlags...)
	build := exec.Command("go", append(args, "-o", dir, "../../cmd/damaskshelfd", "../../cmd/damaskstandin")...)
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// fleet holds the processes of one test: one process of the stand-ins, and one per entry instance.
type fleet struct {
	t     *testing.T
	dir   string
	addrs cluster.Addrs

	mu      sync.Mutex
	entries []*entry // guarded by mu; in the order of their start
}

// entry is the process of one entry instance.
type entry struct {
	row       wire.Instance // its row of the instance list
	operators string        // address of its operators' listener
	cmd       *exec.Cmd
	exited    chan struct{} // closed when the process has ended
	ready     atomic.Bool   // result of the last readiness check
}

// fleetSlots limits the number of fleets that run at the same time. A fleet under load uses about one core.
var fleetSlots = make(chan struct{}, 3)

// startFleet starts the stand-ins and one entry instance per failure domain, and waits until all of them serve requests.
func startFleet(t *testing.T) *fleet {
	t.Helper()
	t.Parallel()
	fleetSlots <- struct{}{}
	t.Cleanup(func() { <-fleetSlots })
	f := &fleet{t: t, dir: t.TempDir()}
	f.startStandins(cluster.Config{
		Domains: domains, Region: region, EnginesPerDomain: 2, Models: []string{model}, Service: bookdesk,
		TimeScale: timeScale, Seed: 1, Engine: engine.Config{ColdLimit: coldLimit},
	})
	intent := api.Intent{Models: []api.Model{{Name: model, Version: cluster.ModelVersion, Replicas: 2 * len(domains)}}}
	f.putConfig(api.Config{Intent: intent})
	for n, domain := range domains {
		f.startEntry(fmt.Sprintf("entry-%d", n), domain)
	}
	for _, e := range f.startedEntries() {
		f.awaitReady(e)
	}
	f.awaitService()
	return f
}

// startStandins starts the stand-ins' process, which ends with the test. It also ends if this process dies, since its
// standard input is then closed.
func (f *fleet) startStandins(cfg cluster.Config) {
	is := is.New(f.t)
	cmd := exec.Command(filepath.Join(programDir, "damaskstandin"), "-stdin", "-config", f.writeJSON("standins.json", cfg))
	stdin, err := cmd.StdinPipe()
	is.NoErr(err)
	stdout, err := cmd.StdoutPipe()
	is.NoErr(err)
	cmd.Stderr = os.Stderr
	is.NoErr(cmd.Start())
	f.t.Cleanup(func() {
		_ = stdin.Close()
		_ = cmd.Wait()
	})
	line, err := bufio.NewReader(stdout).ReadBytes('\n')
	is.NoErr(err)
	is.NoErr(json.Unmarshal(line, &f.addrs))
}

// writeJSON writes a value to a file of the test's directory and returns the file's path.
func (f *fleet) writeJSON(name string, value any) string {
	is := is.New(f.t)
	data, err := json.Marshal(value)
	is.NoErr(err)
	path := filepath.Join(f.dir, name)
	is.NoErr(os.WriteFile(path, data, 0o600))
	return path
}

// putConfig writes the configuration to the object API.
func (f *fleet) putConfig(cfg api.Config) {
	data, err := json.Marshal(cfg)
	is.New(f.t).NoErr(err)
	f.requireSuccess(rawhttp.Call{Method: fasthttp.MethodPut, Path: "/objects/config/current", Body: data}.Do(f.addrs.Objects))
}

// requireSuccess ends the test unless the call was answered with a status of 2xx, and returns its result.
func (f *fleet) requireSuccess(r *rawhttp.Result) *rawhttp.Result {
	f.t.Helper()
	if r.Err != nil || r.Status < 200 || r.Status > 299 {
		f.t.Fatalf("status %d, body %s, error %v", r.Status, r.Body, r.Err)
	}
	return r
}

// startEntry starts an entry instance and adds it to the instance list, as the platform does. It doesn't wait until the
// instance is ready.
func (f *fleet) startEntry(id, domain string) *entry {
	is := is.New(f.t)
	callers, operators, peers := freeAddr(f.t), freeAddr(f.t), freeAddr(f.t)
	path := f.writeJSON(id+".json", api.Settings{
		Instance: id, Region: region, FailureDomain: domain,
		Listen:   api.Listen{Callers: callers, Operators: operators, Peers: peers},
		Platform: api.Platform{Objects: f.addrs.Objects, Instances: f.addrs.Instances, Weights: f.addrs.Weights},
		Limits:   api.Limits{DefaultTimeout: api.Duration(requestTimeout)},
		Intervals: api.Intervals{
			InstanceList: api.Duration(100 * time.Millisecond), LoadReport: api.Duration(50 * time.Millisecond),
			Heartbeat: api.Duration(100 * time.Millisecond), BalancerLag: api.Duration(balancerLag),
			StopTimeout: api.Duration(waitTimeout), StreamGap: api.Duration(time.Second),
		},
	})
	log, err := os.OpenFile(filepath.Join(f.dir, id+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	is.NoErr(err)
	defer log.Close()
	cmd := exec.Command(filepath.Join(programDir, "damaskshelfd"), "-settings", path)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // the process must not outlive a test that is killed
	is.NoErr(cmd.Start())
	e := &entry{
		cmd: cmd, operators: operators, exited: make(chan struct{}),
		row: wire.Instance{ID: id, Kind: wire.KindEntry, Addr: callers, PeerAddr: peers, Domain: domain, Region: region},
	}
	go func() {
		_ = cmd.Wait()
		close(e.exited)
	}()
	f.t.Cleanup(func() {
		e.kill()
		f.checkLog(id)
	})
	f.listInstance(e.row)
	f.mu.Lock()
	f.entries = append(f.entries, e)
	f.mu.Unlock()
	go e.pollReadiness()
	return e
}

// startedEntries returns the entry instances started so far, including those that have ended.
func (f *fleet) startedEntries() []*entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.entries)
}

// freeAddr returns a free loopback address. Its port is below the range that the system assigns to outgoing connections,
// so that none of them takes the port before the process binds it.
func freeAddr(t *testing.T) string {
	t.Helper()
	for range 1000 {
		addr := fmt.Sprintf("127.0.0.1:%d", 20_000+nextPort.Add(1)%5_000)
		if l, err := net.Listen("tcp", addr); err == nil {
			_ = l.Close()
			return addr
		}
	}
	t.Fatal("no free port")
	return ""
}

// nextPort counts the ports that freeAddr has tried. It starts at an offset that depends on the process id, so that test
// processes running in parallel try different ports.
var nextPort atomic.Int64

func init() { nextPort.Store(int64(os.Getpid()) * 7) }

// kill ends the process by SIGKILL and waits for its end.
func (e *entry) kill() {
	_ = e.cmd.Process.Kill()
	<-e.exited
}

// signal sends a signal to the process.
func (f *fleet) signal(e *entry, s syscall.Signal) { is.New(f.t).NoErr(e.cmd.Process.Signal(s)) }

// awaitExit waits for the end of a process that is stopping, and returns its exit status.
func (f *fleet) awaitExit(e *entry) int {
	f.t.Helper()
	select {
	case <-e.exited:
	case <-time.After(waitTimeout):
		f.t.Fatalf("%s did not exit", e.row.ID)
	}
	return e.cmd.ProcessState.ExitCode()
}

// pollReadiness checks the instance's readiness, as the platform's balancer does, until the process ends.
func (e *entry) pollReadiness() {
	for {
		select {
		case <-e.exited:
			e.ready.Store(false)
			return
		case <-time.After(pollInterval):
		}
		check := rawhttp.Call{Method: fasthttp.MethodGet, Path: "/readyz", Timeout: 2 * time.Second}
		e.ready.Store(check.Do(e.row.Addr).Status == fasthttp.StatusOK)
	}
}

// awaitReady waits until an entry instance is ready.
func (f *fleet) awaitReady(e *entry) {
	f.t.Helper()
	f.await(e.row.ID+" is ready", e.ready.Load)
}

// awaitService waits until every ready entry instance has answered a prompt and a read.
func (f *fleet) awaitService() {
	f.t.Helper()
	for _, e := range f.startedEntries() {
		if !e.ready.Load() {
			continue
		}
		f.await(e.row.ID+" serves", func() bool {
			prompt := promptCall(newRequestID("probe"), 10, 5, true).Do(e.row.Addr)
			return prompt.Done && readCall().Do(e.row.Addr).Status == fasthttp.StatusOK
		})
	}
}

// await waits until the condition holds, and ends the test if waitTimeout passes first.
func (f *fleet) await(what string, condition func() bool) {
	f.t.Helper()
	for end := time.Now().Add(waitTimeout); !condition(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			f.t.Fatalf("timed out waiting until: %s", what)
		}
	}
}

// checkLog fails the test if a daemon's log shows a panic, a fatal error or a data race. If the test has failed, it prints
// the end of the log.
func (f *fleet) checkLog(id string) {
	log, err := os.ReadFile(filepath.Join(f.dir, id+".log"))
	if err != nil {
		f.t.Errorf("log of %s: %v", id, err)
		return
	}
	for _, marker := range []string{"panic:", "fatal error:", "DATA RACE"} {
		if start := bytes.Index(log, []byte(marker)); start >= 0 {
			f.t.Errorf("%s wrote:\n%s", id, log[start:min(len(log), start+logTailBytes)])
		}
	}
	if f.t.Failed() {
		f.t.Logf("end of %s's log:\n%s", id, log[max(0, len(log)-logTailBytes):])
	}
}

// postControl sends a POST to the stand-ins' control listener.
func (f *fleet) postControl(path string, body any) {
	f.t.Helper()
	data, err := json.Marshal(body)
	is.New(f.t).NoErr(err)
	f.requireSuccess(rawhttp.Call{Path: path, Body: data}.Do(f.addrs.Control))
}

// listInstance adds or replaces a row of the platform's instance list.
func (f *fleet) listInstance(row wire.Instance) { f.postControl(cluster.PathInstances, row) }

// unlistInstance removes a row from the platform's instance list.
func (f *fleet) unlistInstance(id string) {
	f.requireSuccess(rawhttp.Call{Method: fasthttp.MethodDelete, Path: cluster.PathInstances + "/" + id}.Do(f.addrs.Control))
}

// setFault turns a stand-in's fault on or off.
func (f *fleet) setFault(target string, fault faults.Fault, on bool) {
	f.t.Helper()
	f.postControl(cluster.PathFault, cluster.FaultRequest{Target: target, Fault: fault, On: on})
}

// counters returns the counts of the stand-ins.
func (f *fleet) counters() cluster.Counters {
	f.t.Helper()
	r := f.requireSuccess(rawhttp.Call{Method: fasthttp.MethodGet, Path: cluster.PathCounters}.Do(f.addrs.Control))
	var c cluster.Counters
	is.New(f.t).NoErr(json.Unmarshal(r.Body, &c))
	return c
}
