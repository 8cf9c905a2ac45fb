package soak_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// program is the daemon, built once.
var program string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "soak")
	if err == nil {
		program = filepath.Join(dir, "damaskshelfd")
		var out []byte
		if out, err = exec.Command("go", "build", "-o", program, "../../cmd/damaskshelfd").CombinedOutput(); err != nil {
			err = fmt.Errorf("build: %w\n%s", err, out)
		}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// daemon is one instance as a process of its own.
type daemon struct {
	name    string
	callers string
	ready   string
	path    string // of its settings
	log     *os.File
	cmd     *exec.Cmd
	done    chan struct{} // closed when the process is over
}

// given are the ports that freeAddr has given. Twelve are drawn for a seed, and bound only later: once in 150 seeds two
// were the same, and a daemon that could not bind never served.
var given = map[int]bool{}

// freeAddr gives a loopback address that is free, with a port below those that the system gives to outgoing
// connections: one of theirs may be taken again before the daemon binds it.
func freeAddr(t *testing.T) string {
	t.Helper()
	const lowest, ports = 20_000, 10_000
	for range 100 {
		port := lowest + rand.IntN(ports)
		if given[port] {
			continue
		}
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		given[port] = true
		defer func() { _ = l.Close() }()
		return l.Addr().String()
	}
	t.Fatal("no free port")
	return ""
}

// newDaemon writes the settings of an instance that reaches the store at store, and is reached by its peers
// at the address that advertise gives for its own.
func newDaemon(t *testing.T, dir, name, store string, advertise func(peers string) string) *daemon {
	t.Helper()
	d := &daemon{name: name, callers: freeAddr(t), ready: freeAddr(t), path: filepath.Join(dir, name+".json")}
	peers := freeAddr(t)
	settings := map[string]any{
		"instance": name, "region": "r", "failure_domain": "a",
		"routed": map[string]any{
			"listen": map[string]any{
				"callers": d.callers, "ready": d.ready, "peers": peers, "metrics": freeAddr(t), "advertised": advertise(peers),
			},
			"ready_path": "/-/ready", "store": map[string]any{"address": store},
			"retries": map[string]any{"ratio": 0.2, "slack": 1000},
			"stop":    map[string]any{"lag": "300ms", "grace": "6s"},
		},
	}
	raw, err := json.Marshal(settings)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(d.path, raw, 0o600); err != nil {
		t.Fatal(err)
	}
	if d.log, err = os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		t.Fatal(err)
	}
	return d
}

// start starts the process. A port that another process of the machine holds for a moment is waited for.
func (d *daemon) start(t *testing.T) {
	t.Helper()
	d.cmd = exec.Command(program, "-settings", d.path)
	d.cmd.Stdout, d.cmd.Stderr = d.log, d.log
	if err := d.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	done, cmd := make(chan struct{}), d.cmd
	d.done = done
	go func() {
		_ = cmd.Wait() // how it ended stands in its log; killed ones end with an error
		close(done)
	}()
}

func (d *daemon) signal(s syscall.Signal) { _ = d.cmd.Process.Signal(s) }

// stopped waits for the end of the process, and tells whether it came in time.
func (d *daemon) stopped(within time.Duration) bool {
	select {
	case <-d.done:
		return true
	case <-time.After(within):
		return false
	}
}

// kill ends the process, by its id, whatever state it is in.
func (d *daemon) kill() {
	d.signal(syscall.SIGCONT)
	d.signal(syscall.SIGKILL)
	d.stopped(5 * time.Second)
}
