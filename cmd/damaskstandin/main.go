// Command damaskstandin serves stand-ins of the platform and of upstreams on loopback, for tests and demonstrations. It
// prints one line of JSON with all addresses when it is ready, and exits on SIGTERM or SIGINT.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/hashicorp/go-hclog"

	"github.com/damaskshelf/damaskshelf/internal/standin/cluster"
)

// options holds the values of the command's flags.
type options struct {
	cluster      cluster.Config
	configFile   string // file with a cluster.Config
	controlAddr  string // address of the control listener
	endWithStdin bool   // exit when standard input closes
}

func main() {
	log := hclog.New(&hclog.LoggerOptions{Name: "damaskstandin"})
	opts := parseFlags()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, opts, os.Stdin, os.Stdout); err != nil {
		log.Error("ended", "error", err)
		os.Exit(1)
	}
}

// parseFlags parses the command line.
func parseFlags() options {
	var o options
	var domains, models string
	flag.StringVar(&domains, "domains", "a,b,c", "failure domains, comma-separated")
	flag.StringVar(&models, "models", "guide", "models loaded on every engine, comma-separated")
	flag.StringVar(&o.cluster.Region, "region", "local", "region")
	flag.IntVar(&o.cluster.EnginesPerDomain, "engines", 1, "engines per failure domain")
	flag.StringVar(&o.cluster.Service, "service", "bookdesk", "name of the plain service; empty: none")
	flag.IntVar(&o.cluster.Services, "services", cluster.DefaultServiceInstances, "instances of the plain service")
	flag.Float64Var(&o.cluster.TimeScale, "timescale", 1, "engine seconds in one second")
	flag.Uint64Var(&o.cluster.Seed, "seed", 1, "seed")
	flag.IntVar(&o.cluster.BasePort, "port", 0, "first port; 0: any free ports")
	flag.StringVar(&o.controlAddr, "control", "127.0.0.1:0", "address of the control listener")
	flag.StringVar(&o.configFile, "config", "", "JSON file with the cluster's configuration; its fields override the flags")
	flag.BoolVar(&o.endWithStdin, "stdin", false, "exit when standard input closes")
	flag.Parse()
	o.cluster.Domains = strings.Split(domains, ",")
	o.cluster.Models = strings.Split(models, ",")
	return o
}

// run serves a cluster until ctx is done, or until standard input closes if the options require it.
func run(ctx context.Context, o options, stdin io.Reader, stdout io.Writer) error {
	if err := readConfig(o.configFile, &o.cluster); err != nil {
		return err
	}
	c, err := cluster.Start(o.cluster)
	if err != nil {
		return fmt.Errorf("start cluster: %w", err)
	}
	defer c.Close()
	control, err := c.StartControl(o.controlAddr)
	if err != nil {
		return err
	}
	defer control.Close()
	addrs := c.Addrs()
	addrs.Control = control.Addr()
	if err := json.NewEncoder(stdout).Encode(addrs); err != nil {
		return fmt.Errorf("print addresses: %w", err)
	}
	select {
	case <-ctx.Done():
	case <-closedAtEOF(o.endWithStdin, stdin):
	}
	return nil
}

// readConfig decodes the file into the configuration; fields that the file lacks keep their values. An empty path reads
// nothing.
func readConfig(path string, into *cluster.Config) error {
	if path == "" {
		return nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("read cluster configuration: %w", err)
	}
	if err := json.Unmarshal(data, into); err != nil {
		return fmt.Errorf("read cluster configuration: %w", err)
	}
	return nil
}

// closedAtEOF returns a channel that is closed when r reaches its end. If watched is false, r is not read and the channel
// stays open.
func closedAtEOF(watched bool, r io.Reader) <-chan struct{} {
	closed := make(chan struct{})
	if watched {
		go func() {
			_, _ = io.Copy(io.Discard, r)
			close(closed)
		}()
	}
	return closed
}
