// Package tools keeps the modules that the code is about to use in go.mod while parts of it are written
// side by side.
package tools

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/fasthttp/router"
	_ "github.com/google/subcommands"
	_ "github.com/google/uuid"
	_ "github.com/hashicorp/go-hclog"
	_ "github.com/rcrowley/go-metrics"
	_ "github.com/valyala/fasthttp"
	_ "go.uber.org/dig"
	_ "go.uber.org/goleak"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
	_ "gonum.org/v1/plot"
	_ "gonum.org/v1/plot/plotter"
	_ "gonum.org/v1/plot/plotutil"
	_ "gonum.org/v1/plot/vg"
	_ "gonum.org/v1/plot/vg/vgsvg"
	_ "google.golang.org/protobuf/proto"
	_ "google.golang.org/protobuf/runtime/protoimpl"
	_ "pgregory.net/rapid"
	_ "storj.io/drpc"
	_ "storj.io/drpc/drpcconn"
	_ "storj.io/drpc/drpcmux"
	_ "storj.io/drpc/drpcserver"
)
