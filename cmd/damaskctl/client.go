package main

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"time"

	"github.com/google/subcommands"
	"github.com/valyala/fasthttp"

	"github.com/damaskshelf/damaskshelf/internal/fault"
	"github.com/damaskshelf/damaskshelf/internal/httphead"
	"github.com/damaskshelf/damaskshelf/internal/operate"
)

const (
	defaultAddr    = "127.0.0.1:8081"
	tokenFileEnv   = "DAMASKCTL_TOKEN_FILE"
	callTimeout    = 15 * time.Second // longer than the instance's own limit, so that its answer arrives
	maxAnswerBytes = 8 << 20          // limits the memory for one answer
)

// environment holds the standard streams of a command.
type environment struct {
	in  io.Reader
	out io.Writer
	err io.Writer
}

// envOf returns the environment among the arguments of a command's Execute, or the process's output streams, without
// standard input, if there is none.
func envOf(args []any) environment {
	if len(args) == 1 {
		if e, ok := args[0].(environment); ok {
			return e
		}
	}
	return environment{out: os.Stdout, err: os.Stderr}
}

// printer holds the flag that selects a command's output format.
type printer struct{ output string }

// setOutputFlag defines the flag -o.
func (p *printer) setOutputFlag(f *flag.FlagSet) {
	f.StringVar(&p.output, "o", "text", "output `format`: text or json")
}

// target holds the flags that select the instance which a command calls.
type target struct {
	printer
	addr      string
	tokenFile string
}

// setFlags defines the flags -addr, -token-file and -o.
func (t *target) setFlags(f *flag.FlagSet) {
	f.StringVar(&t.addr, "addr", defaultAddr, "operators' `address` of any instance, IP and port")
	f.StringVar(&t.tokenFile, "token-file", os.Getenv(tokenFileEnv), "`file` with the operators' token; default $"+tokenFileEnv)
	t.setOutputFlag(f)
}

// json reports whether the output format is JSON.
func (p *printer) json() bool { return p.output == "json" }

// checkUsage reports whether the output format is valid and the command line has the required number of arguments. If
// not, it prints the error.
func (p *printer) checkUsage(e environment, f *flag.FlagSet, args int) bool {
	switch {
	case p.output != "text" && p.output != "json":
		fmt.Fprintf(e.err, "-o %s is not allowed; allowed: text or json\n", p.output)
	case f.NArg() != args:
		fmt.Fprintf(e.err, "%d arguments were given, %d are needed\n", f.NArg(), args)
	default:
		return true
	}
	return false
}

// errorResponse is an error that the instance returned.
type errorResponse struct {
	body       operate.ErrorBody
	retryAfter string
}

// Error returns the error kind, whether the request ran, and the detail in one line.
func (r *errorResponse) Error() string {
	s := fmt.Sprintf("%s (run: %s): %s", r.body.Error, r.body.Run, r.body.Detail)
	if r.retryAfter != "" {
		s += "; come back after " + r.retryAfter + " s"
	}
	return s
}

// unreachableError is the error of a call that received no answer, so that its outcome is unknown.
type unreachableError struct{ cause error }

// Error returns the cause, and says that the outcome is unknown.
func (u *unreachableError) Error() string {
	return fmt.Sprintf("no answer, the outcome is unknown: %v", u.cause)
}

// Unwrap returns the cause.
func (u *unreachableError) Unwrap() error { return u.cause }

// call sends one request and decodes the answer into out. It never retries.
func (t *target) call(method, path string, body, out any) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + t.addr + path)
	req.Header.SetMethod(method)
	// Otherwise each status poll of a long wait leaves a connection open, until the instance refuses further ones.
	req.SetConnectionClose()
	if err := t.authorize(req); err != nil {
		return err
	}
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return fmt.Errorf("encode request: %w", err)
		}
		req.Header.SetContentType("application/json")
		req.SetBody(data)
	}
	client := fasthttp.Client{
		Dial:                dial,
		MaxResponseBodySize: maxAnswerBytes,
		RetryIfErr:          func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
	if err := client.DoTimeout(req, resp, callTimeout); err != nil {
		return &unreachableError{cause: err}
	}
	return decodeAnswer(resp, out)
}

// dial connects to an instance. The connection accepts no response with a malformed head.
func dial(addr string) (net.Conn, error) {
	c, err := fasthttp.Dial(addr)
	if err != nil {
		return nil, err
	}
	return httphead.NewConn(c), nil
}

// authorize adds the operators' token to the request if a token file is set.
func (t *target) authorize(req *fasthttp.Request) error {
	if t.tokenFile == "" {
		return nil
	}
	token, err := os.ReadFile(t.tokenFile)
	if err != nil {
		return fmt.Errorf("read token: %w", err)
	}
	req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+strings.TrimSpace(string(token)))
	return nil
}

// decodeAnswer decodes an answer with status 200 into out. It returns any other answer as an *errorResponse, or as a
// plain error if its body names no error kind.
func decodeAnswer(resp *fasthttp.Response, out any) error {
	if resp.StatusCode() == fasthttp.StatusOK {
		if err := json.Unmarshal(resp.Body(), out); err != nil {
			return fmt.Errorf("decode answer: %w", err)
		}
		return nil
	}
	r := &errorResponse{retryAfter: string(resp.Header.Peek(fasthttp.HeaderRetryAfter))}
	if err := json.Unmarshal(resp.Body(), &r.body); err != nil || r.body.Error == "" {
		return fmt.Errorf("status %d without a known error kind", resp.StatusCode())
	}
	return r
}

// reportError prints the error, if any, and returns the exit status for it.
func reportError(e environment, err error) subcommands.ExitStatus {
	if err == nil {
		return exitDone
	}
	fmt.Fprintln(e.err, err)
	var r *errorResponse
	var u *unreachableError
	switch {
	case errors.As(err, &u):
		return exitUnreachable
	case !errors.As(err, &r):
		return exitFailed
	case r.body.Error == fault.PlanConflict.String():
		return exitConflict
	case r.body.Run == fault.RunUnknown.String():
		return exitUnreachable
	default:
		return exitFailed
	}
}

// print writes v as JSON if the flag selects it, and otherwise as text.
func (p *printer) print(e environment, v any, text func(io.Writer)) {
	if !p.json() {
		text(e.out)
		return
	}
	enc := json.NewEncoder(e.out)
	enc.SetIndent("", "  ")
	if err := enc.Encode(v); err != nil {
		fmt.Fprintln(e.err, err)
	}
}
