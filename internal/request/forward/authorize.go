package forward

import (
	"context"
	"errors"
	"net/http"
	"time"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/record/routing"
	"example.org/camphorhinge/internal/request/access"
)

// confirmRetryAfter is the Retry-After of a request whose key can't be judged now; core nodes confirm the configuration twice a second.
const confirmRetryAfter = 500 * time.Millisecond

// errDenied marks a request that was not sent, since its key no longer admits it; job.denied has the reason.
var errDenied = errors.New("the request may not run any more")

// authorize admits the request by its key and the version in force, and removes the key from the header that is forwarded. It is
// called on arrival and before each send, since a key may be removed or moved to another workspace while a request waits.
func (j *job) authorize() *Error {
	permit, err := j.f.cfg.Access.Admit(j.info.Key, j.route.Public)
	if permit.Keyed {
		j.f.cfg.Protocol.StripKey(j.header)
	}
	if err == nil {
		j.permit = permit
		return nil
	}
	kind := KindUnauthorized
	if err.Kind == access.KindUnconfirmed {
		kind = KindUnconfirmed
	}
	switch {
	case j.runs > 0:
		return &Error{Op: "admit", Kind: kind, Run: camphorhinge.Unknown, Status: http.StatusBadGateway, Err: err}
	case kind == KindUnconfirmed:
		return newUnavailable(kind, confirmRetryAfter, "%w", err)
	}
	return newRefusal(kind, http.StatusUnauthorized, "%w", err)
}

// authorizeArrival admits the request when it arrives. Shortly after the start of the node, a request with a key waits until the
// configuration is confirmed, if the caller's timeout allows. The index is the one that the request was matched with.
func (j *job) authorizeArrival(ctx context.Context, index *routing.Index) *Error {
	confirmed := j.f.cfg.Access.Confirmed
	if len(index.Config.Workspaces) > 0 && !j.route.Public && j.info.Key != "" && !confirmed() {
		j.awaitStartup(ctx, configurationStartup, confirmed)
	}
	return j.authorize()
}

// workspace returns the name of the request's workspace, or "".
func (j *job) workspace() camphorhinge.WorkspaceName {
	if j.permit.Workspace == nil {
		return ""
	}
	return j.permit.Workspace.Name
}

// rank returns the rank of the request's workspace, or that of the route if the workspace has none.
func (j *job) rank() int {
	if w := j.permit.Workspace; w != nil && w.Rank != nil {
		return max(*w.Rank, 0)
	}
	return j.route.Rank
}
