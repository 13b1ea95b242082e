package command

import (
	"errors"
	"fmt"
	"net"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"example.org/camphorhinge/internal/cli/client"
)

const (
	// defaultNode is the URL of the default operator port of serve.
	defaultNode = "http://127.0.0.1:8082"
	// nodeVariable and tokenVariable apply to all commands that connect to an operator port.
	nodeVariable  = "CAMPHORHINGE_NODE"
	tokenVariable = "CAMPHORHINGE_TOKEN"
)

// commands registers all commands.
func (a *app) commands() {
	a.command("serve", "Run a node.", a.serve)
	a.command("node", "Run an entry node or a core node on the platform's machines.", a.node)
	a.command("demo", "Run a node with an embedded stand-in engine and send one request through it.", a.demo)
	a.command("apply", "Write records; files of one call are validated together before any record is sent.", a.apply)
	a.command("withdraw", "Withdraw a record.", a.withdraw)
	a.command("get", "Show the records in force, or one record.", a.get)
	a.command("status", "Show the status of a node and of the cluster as that node sees it.", a.status)
	a.command("explain", "Show the latest decisions of a node and what they were based on.", a.explain)
	a.command("check", "Validate records without a node.", a.check)
	a.command("validate", "Validate the platform's settings file or a routing configuration without a node.", a.validate)
	a.command("check-config", "Check a routing configuration before it is sent. Exits with 0 if it is valid, 1 if it is invalid, and 2 if a "+
		"configuration is not readable or the node is unreachable; warnings don't change the code.", a.checkConfig)
	a.command("request", "Show from logs how a request was handled, and why.", a.request)
	a.command("probe", "Request a URL and exit with 0 if the response has status 200.", a.probe)
	a.command("load", "Send requests to caller ports and check every response.", a.load)
	a.command("cert", "Create the cluster's certificate authority and issue certificates for nodes.", a.cert)
	a.command("trial", "Compare the role policy with no change, a threshold and an oracle on traces of both customers.", a.trial)
	standin := a.kingpin.Command("standin", "Run a stand-in for a target.")
	a.bind("standin engine", standin.Command("engine", "Run a stand-in for a model engine."), a.standinEngine)
	a.bind("standin service", standin.Command("service", "Run a stand-in for a plain service."), a.standinService)
	a.bind("standin fleet", standin.Command("fleet", "Announce many engines that serve no request, to measure the cost of announcements."),
		a.standinFleet)
	a.bind("standin relay", standin.Command("relay", "Run a TCP relay between processes."), a.standinRelay)
	a.bind("standin rule", standin.Command("rule", "Set how a forward of a relay handles connections."), a.standinRule)
}

// connection holds the flags of the commands that connect to an operator port.
type connection struct {
	nodeFlag string
	nodes    []string
	token    string
	timeout  time.Duration
}

func connectionFlags(cmd *kingpin.CmdClause) *connection {
	c := &connection{nodeFlag: "node"}
	cmd.Flag("node", "URL of a node's operator port, "+defaultNode+" by default; may be repeated, nodes are tried in turn. $"+
		nodeVariable+" applies to all commands.").PlaceHolder("URL").StringsVar(&c.nodes)
	c.tokenFlags(cmd)
	return c
}

// tokenFlags adds the flags for the token and the timeout.
func (c *connection) tokenFlags(cmd *kingpin.CmdClause) {
	cmd.Flag("token", "File with the operator's token. $"+tokenVariable+" applies to all commands.").
		PlaceHolder("FILE").StringVar(&c.token)
	cmd.Flag("timeout", "Maximum time to wait for the response of one node.").Default(client.DefaultTimeout.String()).DurationVar(&c.timeout)
}

// open returns a client that is configured by the flags and, where they are not given, by the environment.
func (c *connection) open() (*client.Client, error) {
	fail := func(format string, args ...any) (*client.Client, error) {
		return nil, &Error{Op: "connect", Kind: KindUsage, Err: fmt.Errorf(format, args...)}
	}
	nodes := c.nodes
	if len(nodes) == 0 {
		nodes = strings.FieldsFunc(os.Getenv(nodeVariable), func(r rune) bool { return r == ',' || r == ' ' || r == '\n' })
	}
	if len(nodes) == 0 {
		nodes = []string{defaultNode}
	}
	addresses := make([]string, len(nodes))
	for i, node := range nodes {
		address, ok := hostPort(node)
		if !ok {
			return fail("--%s: expected the URL of an operator port, such as %s, got %q", c.nodeFlag, defaultNode, node)
		}
		addresses[i] = address
	}
	token := c.token
	if token == "" {
		token = os.Getenv(tokenVariable)
	}
	if token == "" {
		return fail("--token: expected a file with the operator's token; %s may name it as well", tokenVariable)
	}
	if c.timeout <= 0 {
		return fail("--timeout: expected more than 0, got %v", c.timeout)
	}
	cl, err := client.New(client.Config{Addresses: addresses, TokenFile: token, Timeout: c.timeout})
	if err != nil {
		return fail("--token: expected a readable file with the operator's token: %w", errors.Unwrap(err))
	}
	return cl, nil
}

// hostPort returns the host:port of a URL, and false if the URL has another scheme than http, since the operator port
// has no TLS, or more parts than a host and port.
func hostPort(text string) (string, bool) {
	if !strings.Contains(text, "://") {
		text = "http://" + text
	}
	u, err := url.Parse(text)
	if err != nil || u.Scheme != "http" || u.User != nil || strings.Trim(u.Path, "/") != "" || u.RawQuery != "" {
		return "", false
	}
	host, port, err := net.SplitHostPort(u.Host)
	return u.Host, err == nil && host != "" && port != ""
}
