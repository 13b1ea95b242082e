package relay

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
)

// Put sets the rule of a forward through the control port with the base URL control. It returns once the rule is in
// force.
func Put(ctx context.Context, control, name string, rule Rule) error {
	body, err := json.Marshal(rule)
	if err != nil {
		return &Error{Op: "put", Kind: KindRule, Err: err}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, control+forwardsPath+"/"+url.PathEscape(name), bytes.NewReader(body))
	if err != nil {
		return &Error{Op: "put", Kind: KindRule, Err: err}
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return &Error{Op: "put", Kind: KindNetwork, Err: err}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, maxRuleBytes)) // Without a body, the status describes the failure.
		return &Error{Op: "put", Kind: KindRule, Err: errors.New(resp.Status + ": " + string(bytes.TrimSpace(text)))}
	}
	return nil
}
