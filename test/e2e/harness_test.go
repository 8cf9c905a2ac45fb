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

// The shape of every fleet here.
const (
	model       = "guide"
	bookdesk    = "bookdesk"
	region      = "sask-plains"
	timeScale   = 10
	coldLimit   = 2
	balancerLag = 500 * time.Millisecond
	guard       = 60 * time.Second // ends a wait that hangs
	poll        = 20 * time.Millisecond
	logTail     = 3_000 // bytes of a daemon's log shown on failure
)

var domains = []string{"north-ice", "mid-ice", "south-ice"}

// programs holds the daemon and the stand-ins' process, built once.
var programs string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "e2e")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	programs = dir
	args := append([]string{"build"}, buildFlags...)
	build := exec.Command("go", append(args, "-o", dir, "../../cmd/damaskshelfd", "../../cmd/damaskstandin")...)
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// fleet is the stand-ins' process and the entry instances' processes of one test.
type fleet struct {
	t     *testing.T
	dir   string
	addrs cluster.Addrs

	mu      sync.Mutex
	entries []*entry // guarded by mu; in the order they were started
}

// entry is one entry instance.
type entry struct {
	row       wire.Instance
	operators string
	cmd       *exec.Cmd
	exited    chan struct{} // closed when the process has ended
	ready     atomic.Bool   // as the balancer sees it
}

// slots bounds the fleets that run at the same time; a fleet under load takes about one core.
var slots = make(chan struct{}, 3)

// start starts stand-ins and one entry instance per failure domain, and waits until all are ready.
func start(t *testing.T) *fleet {
	t.Helper()
	t.Parallel()
	slots <- struct{}{}
	t.Cleanup(func() { <-slots })
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
	for _, e := range f.started() {
		f.awaitReady(e)
	}
	f.awaitService()
	return f
}

// startStandins runs the stand-ins until the test ends; its standard input ends with this process.
func (f *fleet) startStandins(cfg cluster.Config) {
	is := is.New(f.t)
	cmd := exec.Command(filepath.Join(programs, "damaskstandin"), "-stdin", "-config", f.writeJSON("standins.json", cfg))
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

func (f *fleet) writeJSON(name string, value any) string {
	is := is.New(f.t)
	data, err := json.Marshal(value)
	is.NoErr(err)
	path := filepath.Join(f.dir, name)
	is.NoErr(os.WriteFile(path, data, 0o600))
	return path
}

func (f *fleet) putConfig(cfg api.Config) {
	data, err := json.Marshal(cfg)
	is.New(f.t).NoErr(err)
	f.must(rawhttp.Call{Method: fasthttp.MethodPut, Path: "/objects/config/current", Body: data}.Do(f.addrs.Objects))
}

// must ends the test if the call failed.
func (f *fleet) must(r *rawhttp.Result) *rawhttp.Result {
	f.t.Helper()
	if r.Err != nil || r.Status < 200 || r.Status > 299 {
		f.t.Fatalf("status %d, body %s, error %v", r.Status, r.Body, r.Err)
	}
	return r
}

// startEntry starts an entry instance and lists it as the platform does. It is not ready yet.
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
			StopTimeout: api.Duration(guard), StreamGap: api.Duration(time.Second),
		},
	})
	log, err := os.OpenFile(filepath.Join(f.dir, id+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	is.NoErr(err)
	defer log.Close()
	cmd := exec.Command(filepath.Join(programs, "damaskshelfd"), "-settings", path)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // no orphan outlives a test that hangs
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
	f.list(e.row)
	f.mu.Lock()
	f.entries = append(f.entries, e)
	f.mu.Unlock()
	go e.balance()
	return e
}

// started lists the entry instances started so far, those that ended included.
func (f *fleet) started() []*entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.entries)
}

// freeAddr gives an address whose port is below those that the system gives to outgoing connections, so
// that no other connection takes it before the process binds it.
func freeAddr(t *testing.T) string {
	t.Helper()
	for range 1000 {
		addr := fmt.Sprintf("127.0.0.1:%d", 20_000+nextPort.Add(1)%10_000)
		if l, err := net.Listen("tcp", addr); err == nil {
			_ = l.Close()
			return addr
		}
	}
	t.Fatal("no free port")
	return ""
}

var nextPort atomic.Int64

func init() { nextPort.Store(int64(os.Getpid()) * 7) }

// kill ends the process at once.
func (e *entry) kill() {
	_ = e.cmd.Process.Kill()
	<-e.exited
}

// signal sends a signal to the process.
func (f *fleet) signal(e *entry, s syscall.Signal) { is.New(f.t).NoErr(e.cmd.Process.Signal(s)) }

// awaitExit waits for the end of a process that was told to stop, and gives its exit status.
func (f *fleet) awaitExit(e *entry) int {
	f.t.Helper()
	select {
	case <-e.exited:
	case <-time.After(guard):
		f.t.Fatalf("%s did not end", e.row.ID)
	}
	return e.cmd.ProcessState.ExitCode()
}

// balance asks for readiness as the platform's balancer does, until the process ends.
func (e *entry) balance() {
	for {
		select {
		case <-e.exited:
			e.ready.Store(false)
			return
		case <-time.After(poll):
		}
		check := rawhttp.Call{Method: fasthttp.MethodGet, Path: "/readyz", Timeout: 2 * time.Second}
		e.ready.Store(check.Do(e.row.Addr).Status == fasthttp.StatusOK)
	}
}

func (f *fleet) awaitReady(e *entry) {
	f.t.Helper()
	f.await(e.row.ID+" is ready", e.ready.Load)
}

// awaitService waits until every ready entry instance answers a prompt and a read.
func (f *fleet) awaitService() {
	f.t.Helper()
	for _, e := range f.started() {
		if !e.ready.Load() {
			continue
		}
		f.await(e.row.ID+" serves", func() bool {
			prompt := prompt(newID("probe"), 10, 5, true).Do(e.row.Addr)
			return prompt.Done && read().Do(e.row.Addr).Status == fasthttp.StatusOK
		})
	}
}

// await waits until the condition holds.
func (f *fleet) await(what string, holds func() bool) {
	f.t.Helper()
	for end := time.Now().Add(guard); !holds(); time.Sleep(poll) {
		if time.Now().After(end) {
			f.t.Fatalf("never happened: %s", what)
		}
	}
}

// checkLog finds what a daemon must never write, and shows the end of its log if the test failed.
func (f *fleet) checkLog(id string) {
	log, err := os.ReadFile(filepath.Join(f.dir, id+".log"))
	if err != nil {
		f.t.Errorf("log of %s: %v", id, err)
		return
	}
	for _, sign := range []string{"panic:", "fatal error:", "DATA RACE"} {
		if at := bytes.Index(log, []byte(sign)); at >= 0 {
			f.t.Errorf("%s wrote:\n%s", id, log[at:min(len(log), at+logTail)])
		}
	}
	if f.t.Failed() {
		f.t.Logf("end of %s's log:\n%s", id, log[max(0, len(log)-logTail):])
	}
}

// post makes a call of the stand-ins' control listener.
func (f *fleet) post(path string, body any) {
	f.t.Helper()
	data, err := json.Marshal(body)
	is.New(f.t).NoErr(err)
	f.must(rawhttp.Call{Path: path, Body: data}.Do(f.addrs.Control))
}

// list puts or replaces a row of the platform's instance list.
func (f *fleet) list(row wire.Instance) { f.post(cluster.PathInstances, row) }

// unlist takes a row off the platform's instance list.
func (f *fleet) unlist(id string) {
	f.must(rawhttp.Call{Method: fasthttp.MethodDelete, Path: cluster.PathInstances + "/" + id}.Do(f.addrs.Control))
}

// fault turns a stand-in's fault on or off.
func (f *fleet) fault(target string, fault faults.Fault, on bool) {
	f.t.Helper()
	f.post(cluster.PathFault, cluster.FaultRequest{Target: target, Fault: fault, On: on})
}

// counters gives what the stand-ins saw.
func (f *fleet) counters() cluster.Counters {
	f.t.Helper()
	r := f.must(rawhttp.Call{Method: fasthttp.MethodGet, Path: cluster.PathCounters}.Do(f.addrs.Control))
	var c cluster.Counters
	is.New(f.t).NoErr(json.Unmarshal(r.Body, &c))
	return c
}
