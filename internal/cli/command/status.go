package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/node/status"
)

// voter is the value of Member in a status.Node for a node that votes.
const voter = "voter"

func (a *app) status(cmd *kingpin.CmdClause) func(context.Context) error {
	conn, output := connectionFlags(cmd), outputFlag(cmd)
	metrics := cmd.Flag("metrics", "Request the status from the metrics address of a node of the platform instead, without a token.").PlaceHolder("IP:PORT").String()
	voters := cmd.Flag("voters", "Fail unless the cluster is repaired, has exactly this number of voters, and the node's own replica, if it has one, is among them.").PlaceHolder("N").Int()
	targets := cmd.Flag("targets", "Fail unless the node has at least this number of live targets that serve.").PlaceHolder("N").Int()
	leader := cmd.Flag("leader", "Print only the name of the leader's node.").Bool()
	follower := cmd.Flag("follower", "Print only the name of a voter's node that is not the leader's.").Bool()
	return func(ctx context.Context) error {
		switch {
		case *leader && *follower:
			return &Error{Op: "status", Kind: KindUsage, Err: errors.New("--leader: contradicts --follower")}
		case *voters < 0:
			return &Error{Op: "status", Kind: KindUsage, Err: fmt.Errorf("--voters: expected at least 1, got %d", *voters)}
		case *targets < 0:
			return &Error{Op: "status", Kind: KindUsage, Err: fmt.Errorf("--targets: expected at least 1, got %d", *targets)}
		}
		raw, err := a.readStatus(ctx, conn, *metrics)
		if err != nil {
			return err
		}
		var s status.Status
		if err := json.Unmarshal(raw, &s); err != nil {
			return &Error{Op: "status", Kind: KindRun, Err: fmt.Errorf("unreadable response: %w", err)}
		}
		switch {
		case *leader:
			err = a.printNode(s.Leader, "the node reports no leader")
		case *follower:
			err = a.printNode(followerOf(s), "no voter other than the leader, or no leader, is reported")
		default:
			// The response is shown as received, including fields that this version does not support.
			err = a.print(*output, raw, func(w io.Writer) { showStatus(w, s) })
		}
		return errors.Join(err, checkConditions(s, *voters, *targets))
	}
}

func (a *app) readStatus(ctx context.Context, conn *connection, metrics string) (json.RawMessage, error) {
	if metrics != "" {
		return fetchStatus(ctx, metrics)
	}
	c, err := conn.open()
	if err != nil {
		return nil, err
	}
	return c.Status(ctx)
}

func (a *app) printNode(name camphorhinge.NodeID, missing string) error {
	if name == "" {
		return &Error{Op: "status", Kind: KindRun, Err: errors.New(missing)}
	}
	fmt.Fprintln(a.out, name)
	return nil
}

// followerOf returns the first voter that is not the leader, or "" if the leader is unknown, since any voter may then
// lead.
func followerOf(s status.Status) camphorhinge.NodeID {
	for _, n := range s.Nodes {
		if s.Leader != "" && n.Member == voter && n.Name != s.Leader {
			return n.Name
		}
	}
	return ""
}

// checkConditions returns an error that names the conditions that are not met. A number of 0 sets no condition.
func checkConditions(s status.Status, voters, targets int) error {
	var errs []error
	unmet := func(format string, args ...any) {
		errs = append(errs, &Error{Op: "status", Kind: KindRun, Err: fmt.Errorf(format, args...)})
	}
	// A node that has just rejoined after the loss of its disk is not yet listed with its new replica.
	voting, ownVotes := 0, s.Replica == nil
	for _, n := range s.Nodes {
		if n.Member == voter {
			voting++
			ownVotes = ownVotes || n.Name == s.Node && n.Replica == s.Replica.ID
		}
	}
	switch {
	case voters > 0 && (voting != voters || !s.Repaired):
		unmet("--voters: expected a repaired cluster with %d voters, got %d, repaired %t", voters, voting, s.Repaired)
	case voters > 0 && !ownVotes:
		unmet("--voters: expected the replica of node %s to vote", s.Node)
	}
	serving := 0
	for _, t := range s.Targets {
		if t.Serving && !t.Leaving {
			serving++
		}
	}
	if targets > 0 && serving < targets {
		unmet("--targets: expected at least %d targets that serve, got %d of %d", targets, serving, len(s.Targets))
	}
	return errors.Join(errs...)
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// ageText formats a duration that is given in milliseconds.
func ageText(ms int64) string { return (time.Duration(ms) * time.Millisecond).String() }

func showStatus(w io.Writer, s status.Status) {
	configuration := s.Configuration + ", revision " + strconv.FormatUint(uint64(s.Revision), 10)
	if s.Stale > 0 {
		configuration += ", lease ended " + ageText(s.Stale) + " ago"
	}
	rows := [][]string{
		{"node", string(s.Node)},
		{"zone", string(s.Zone)},
		{"cluster", dash(string(s.Cluster))},
		{"configuration", configuration},
		{"stopping", yesNo(s.Stopping)},
		{"leader", dash(string(s.Leader))},
		{"repaired", yesNo(s.Repaired)},
	}
	if len(s.Workspaces) > 0 {
		var names []string
		for _, name := range s.Workspaces {
			names = append(names, string(name))
		}
		rows = append(rows, []string{"workspaces", strings.Join(names, ", ")})
	}
	if r := s.Replica; r != nil {
		rows = append(rows, []string{"replica", fmt.Sprintf("%x: %s, term %d, commit %d, applied %d, lease %s, %d bytes on disk",
			uint64(r.ID), r.Role, r.Term, r.Commit, r.Applied, yesNo(r.Lease), r.Disk)})
	}
	if u := s.Usage; u != nil {
		rows = append(rows, []string{"usage reports", fmt.Sprintf("last window accepted %d, waiting %v", u.Last, u.Waiting)})
	}
	columns(w, rows)
	fmt.Fprintln(w)

	rows = [][]string{{"NODE", "ZONE", "ADDRESS", "MEMBER", "REPLICA", "REVISION", "AGE"}}
	for _, n := range s.Nodes {
		replica, revision, age := "-", "-", "-"
		if n.Replica != 0 {
			replica = strconv.FormatUint(uint64(n.Replica), 16)
		}
		// Only the leader reports these two.
		if n.Revision != 0 || n.Age != 0 {
			revision, age = strconv.FormatUint(uint64(n.Revision), 10), ageText(n.Age)
		}
		rows = append(rows, []string{string(n.Name), string(n.Zone), n.Address, dash(n.Member), replica, revision, age})
	}
	columns(w, rows)
	fmt.Fprintln(w)

	rows = [][]string{{"TARGET", "SERVICE", "KIND", "ROLE", "ZONE", "ADDRESS", "STATE", "AGE", "NOTE"}}
	for _, t := range s.Targets {
		state := "held"
		switch {
		case t.Leaving:
			state = "leaving"
		case t.Serving:
			state = "serving"
		}
		rows = append(rows, []string{
			string(t.Name), string(t.Service), t.Kind, dash(string(t.Role)), string(t.Zone), t.Address, state, ageText(t.Age),
			strings.TrimSpace(t.Note),
		})
	}
	columns(w, rows)
	if len(s.Wanted) == 0 {
		return
	}
	fmt.Fprintln(w)

	rows = [][]string{{"SERVICE", "ZONE", "RECLAIMABLE", "WANTED", "ORDERED", "SERVING"}}
	for _, x := range s.Wanted {
		rows = append(rows, []string{
			string(x.Service), string(x.Zone), yesNo(x.Spot), strconv.Itoa(x.Wanted), strconv.Itoa(x.Ordered), strconv.Itoa(x.Serving),
		})
	}
	columns(w, rows)
}
