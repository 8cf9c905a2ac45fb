// Command damaskstandin serves stand-ins of the platform and of upstreams on loopback, for tests and
// demonstrations. It prints one line of JSON with all addresses when it is ready, and ends on SIGTERM.
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

type options struct {
	cluster cluster.Config
	config  string // file with a cluster.Config
	control string
	stdin   bool
}

func main() {
	log := hclog.New(&hclog.LoggerOptions{Name: "damaskstandin"})
	opts := parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, opts, os.Stdin, os.Stdout); err != nil {
		log.Error("ended", "error", err)
		os.Exit(1)
	}
}

func parse() options {
	var o options
	var domains, models string
	flag.StringVar(&domains, "domains", "a,b,c", "failure domains, comma-separated")
	flag.StringVar(&models, "models", "guide", "models loaded on every engine, comma-separated")
	flag.StringVar(&o.cluster.Region, "region", "local", "region")
	flag.IntVar(&o.cluster.EnginesPerDomain, "engines", 1, "engines per failure domain")
	flag.StringVar(&o.cluster.Service, "service", "bookdesk", "name of the plain service; empty: none")
	flag.IntVar(&o.cluster.Services, "services", cluster.DefaultServices, "instances of the plain service")
	flag.Float64Var(&o.cluster.TimeScale, "timescale", 1, "engine seconds in one second")
	flag.Uint64Var(&o.cluster.Seed, "seed", 1, "seed")
	flag.IntVar(&o.cluster.BasePort, "port", 0, "first port; 0: any free ones")
	flag.StringVar(&o.control, "control", "127.0.0.1:0", "address of the control listener")
	flag.StringVar(&o.config, "config", "", "JSON file of a cluster; its fields override the flags")
	flag.BoolVar(&o.stdin, "stdin", false, "end when standard input closes")
	flag.Parse()
	o.cluster.Domains = strings.Split(domains, ",")
	o.cluster.Models = strings.Split(models, ",")
	return o
}

// run serves a cluster until ctx is done, or standard input ends if the options say so.
func run(ctx context.Context, o options, stdin io.Reader, stdout io.Writer) error {
	if err := readConfig(o.config, &o.cluster); err != nil {
		return err
	}
	c, err := cluster.Start(o.cluster)
	if err != nil {
		return fmt.Errorf("start cluster: %w", err)
	}
	defer c.Close()
	control, err := c.ServeControl(o.control)
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
	case <-ended(o.stdin, stdin):
	}
	return nil
}

func readConfig(path string, into *cluster.Config) error {
	if path == "" {
		return nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("read cluster: %w", err)
	}
	if err := json.Unmarshal(data, into); err != nil {
		return fmt.Errorf("read cluster: %w", err)
	}
	return nil
}

// ended is closed when r ends; never when it is not watched.
func ended(watched bool, r io.Reader) <-chan struct{} {
	end := make(chan struct{})
	if watched {
		go func() {
			_, _ = io.Copy(io.Discard, r)
			close(end)
		}()
	}
	return end
}
