// Command damaskshelfd is one entry instance of damaskshelf.
//
// It reads its settings once, serves until SIGTERM or SIGINT, and then stops gracefully: requests in
// flight are finished. Further SIGTERMs change nothing, since a platform may send more than one; a SIGINT
// during the stop ends the requests that are left with an explicit error. Exit statuses:
// 0 stopped whole, 1 failed, 2 bad settings or usage.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/hashicorp/go-hclog"

	"github.com/damaskshelf/damaskshelf/api"
	"github.com/damaskshelf/damaskshelf/internal/node"
)

// Exit statuses.
const (
	exitDone   = 0
	exitFailed = 1
	exitUsage  = 2
)

func main() { os.Exit(run()) }

func run() int {
	path := flag.String("settings", "", "settings file (JSON)")
	check := flag.Bool("check", false, "check the settings and stop")
	flag.Parse()
	if *path == "" || flag.NArg() > 0 {
		flag.Usage()
		return exitUsage
	}
	s, err := api.LoadSettings(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "damaskshelfd:", err)
		return exitUsage
	}
	if *check {
		fmt.Println("settings are good")
		return exitDone
	}
	log := hclog.New(&hclog.LoggerOptions{Name: "damaskshelfd", Level: hclog.LevelFromString(s.LogLevel)})
	return serve(s, log)
}

func serve(s api.Settings, log hclog.Logger) int {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	n, err := node.New(s, node.Options{Log: log})
	if err == nil {
		err = n.Start()
	}
	if err != nil {
		log.Error("not started", "error", err)
		return exitFailed
	}
	log.Info("signal", "name", <-signals)
	stopped := make(chan error, 1)
	go func() { stopped <- n.Stop() }()
	for {
		select {
		case err := <-stopped:
			if err != nil {
				return exitFailed
			}
			return exitDone
		case sig := <-signals:
			if sig != os.Interrupt {
				log.Info("already stopping", "signal", sig)
				continue
			}
			log.Warn("interrupted: ending what is left")
			n.Abort()
		}
	}
}
