package main

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/google/subcommands"
	"github.com/valyala/fasthttp"

	"github.com/damaskshelf/damaskshelf/internal/fault"
	"github.com/damaskshelf/damaskshelf/internal/operate"
)

const (
	defaultAddr = "127.0.0.1:8081"
	tokenVar    = "DAMASKCTL_TOKEN_FILE"
	callTimeout = 15 * time.Second // longer than the instance's own bound, so that its answer arrives
	maxAnswer   = 8 << 20
)

// environment is where a verb prints.
type environment struct {
	in  io.Reader
	out io.Writer
	err io.Writer
}

// envOf takes the environment out of a verb's arguments.
func envOf(args []any) environment {
	if len(args) == 1 {
		if e, ok := args[0].(environment); ok {
			return e
		}
	}
	return environment{out: os.Stdout, err: os.Stderr}
}

// printer holds the flag by which a verb prints.
type printer struct{ output string }

func (p *printer) setPrintFlag(f *flag.FlagSet) {
	f.StringVar(&p.output, "o", "text", "output `format`: text or json")
}

// target holds the flags by which every verb finds its instance.
type target struct {
	printer
	addr      string
	tokenFile string
}

func (t *target) setFlags(f *flag.FlagSet) {
	f.StringVar(&t.addr, "addr", defaultAddr, "operators' `address` of any instance, IP and port")
	f.StringVar(&t.tokenFile, "token-file", os.Getenv(tokenVar), "`file` with the operators' token; default $"+tokenVar)
	t.setPrintFlag(f)
}

func (p *printer) json() bool { return p.output == "json" }

// usage refuses flags and arguments that make no sense.
func (p *printer) usage(e environment, f *flag.FlagSet, args int) bool {
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

// refusal is an error answer of the instance.
type refusal struct {
	body       operate.ErrorBody
	retryAfter string
}

// Error gives kind, run outcome and detail in one line.
func (r *refusal) Error() string {
	s := fmt.Sprintf("%s (run: %s): %s", r.body.Error, r.body.Run, r.body.Detail)
	if r.retryAfter != "" {
		s += "; come back after " + r.retryAfter + " s"
	}
	return s
}

// unreachable is a call without an answer: its outcome is not known.
type unreachable struct{ cause error }

// Error gives the cause.
func (u *unreachable) Error() string {
	return fmt.Sprintf("no answer, the outcome is unknown: %v", u.cause)
}

// Unwrap gives the cause.
func (u *unreachable) Unwrap() error { return u.cause }

// call sends one request and decodes its answer into out. It is never repeated.
func (t *target) call(method, path string, body, out any) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + t.addr + path)
	req.Header.SetMethod(method)
	// Without this each look of a long wait leaves a connection open, until the instance refuses more.
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
		MaxResponseBodySize: maxAnswer,
		RetryIfErr:          func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
	if err := client.DoTimeout(req, resp, callTimeout); err != nil {
		return &unreachable{cause: err}
	}
	return decodeAnswer(resp, out)
}

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

func decodeAnswer(resp *fasthttp.Response, out any) error {
	if resp.StatusCode() == fasthttp.StatusOK {
		if err := json.Unmarshal(resp.Body(), out); err != nil {
			return fmt.Errorf("decode answer: %w", err)
		}
		return nil
	}
	r := &refusal{retryAfter: string(resp.Header.Peek(fasthttp.HeaderRetryAfter))}
	if err := json.Unmarshal(resp.Body(), &r.body); err != nil || r.body.Error == "" {
		return fmt.Errorf("status %d without a known error kind", resp.StatusCode())
	}
	return r
}

// exit prints an error and gives its exit status.
func exit(e environment, err error) subcommands.ExitStatus {
	if err == nil {
		return exitDone
	}
	fmt.Fprintln(e.err, err)
	var r *refusal
	var u *unreachable
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

// print writes v as JSON if that is asked for, else as text.
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
