package command

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"

	"example.org/camphorhinge"
)

// probeTimeout is the default timeout of a probe; ports on the same network respond within milliseconds.
const probeTimeout = 5 * time.Second

func (a *app) probe(cmd *kingpin.CmdClause) func(context.Context) error {
	timeout := cmd.Flag("timeout", "Maximum time to wait for the response.").Default(probeTimeout.String()).Duration()
	show := cmd.Flag("show", "Print the status, the run class and the body of the response, on one line.").Bool()
	key := cmd.Flag("key", "API key.").String()
	target := cmd.Arg("url", "URL to request, such as http://127.0.0.1:8080/readyz.").Required().String()
	return func(ctx context.Context) error {
		u, err := url.Parse(*target)
		if err != nil || u.Scheme != "http" || u.Host == "" {
			return &Error{Op: "probe", Kind: KindUsage, Err: fmt.Errorf("URL: expected http://HOST:PORT/PATH, got %q", *target)}
		}
		if *timeout <= 0 {
			return &Error{Op: "probe", Kind: KindUsage, Err: fmt.Errorf("--timeout: expected more than 0, got %v", *timeout)}
		}
		h, err := client.NewClient(client.WithDialer(standard.NewDialer()), client.WithDialTimeout(*timeout), client.WithKeepAlive(false))
		if err != nil {
			return &Error{Op: "probe", Kind: KindRun, Err: err}
		}
		defer h.CloseIdleConnections()
		req, resp := &protocol.Request{}, &protocol.Response{}
		req.SetMethod(http.MethodGet)
		req.SetRequestURI(*target)
		if *key != "" {
			req.Header.Set("Authorization", "Bearer "+*key)
		}
		if err := h.DoTimeout(ctx, req, resp, *timeout); err != nil {
			return &Error{Op: "probe", Kind: KindUnavailable, Err: fmt.Errorf("%s: %w", *target, err)}
		}
		if *show {
			class := dash(string(resp.Header.Peek(camphorhinge.HeaderRun)))
			fmt.Fprintln(a.out, resp.StatusCode(), class, string(bytes.TrimSpace(resp.Body())))
		}
		if resp.StatusCode() != http.StatusOK {
			return &Error{Op: "probe", Kind: KindRun, Err: fmt.Errorf("%s: expected status 200, got %d", *target, resp.StatusCode())}
		}
		return nil
	}
}
