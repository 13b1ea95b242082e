package engine

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"example.org/camphorhinge"
)

// sendOrder posts an order body and returns the status and the answer.
func sendOrder(t *testing.T, e *Engine, path string, body any) (int, OrderAnswer) {
	t.Helper()
	status, _, out, err := call(t, e, http.MethodPost, path, body)
	require.NoError(t, err)
	var a OrderAnswer
	require.NoError(t, json.Unmarshal(out, &a), string(out))
	return status, a
}

// jsonObject is an order in its wire format, so that the test also checks the field names.
type jsonObject = map[string]any

// readTarget reads the engine's announcement.
func readTarget(t *testing.T, e *Engine) camphorhinge.Announcement {
	t.Helper()
	status, _, out, err := call(t, e, http.MethodGet, "/v1/target", nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	var a camphorhinge.Announcement
	require.NoError(t, json.Unmarshal(out, &a))
	return a
}

// awaitRole waits until the engine reports that a change to the role is done.
func awaitRole(t *testing.T, e *Engine, role camphorhinge.Role) {
	t.Helper()
	require.Eventually(t, func() bool {
		a := readTarget(t, e)
		return a.Role == role && !a.Busy && a.Last.State == StateDone
	}, 10*time.Second, time.Millisecond)
}

// TestTwoStepOverHTTP guards against an engine on which a deposed controller's order takes effect after the prepare of
// its successor, in either order of arrival, and against answers that don't let the successor read back whether an
// order took effect.
func TestTwoStepOverHTTP(t *testing.T) {
	e := startEngine(t, Config{
		Incarnation: 7, Fencing: camphorhinge.FencingIgnored, Orders: camphorhinge.OrdersTwoStep, ChangeTime: time.Millisecond,
	})
	status, old := sendOrder(t, e, "/v1/orders/prepare", jsonObject{"fence": 4, "seq": 1})
	require.Equal(t, http.StatusOK, status)
	require.NotEmpty(t, old.Nonce)
	require.Equal(t, readTarget(t, e).Revision, old.Revision)

	// The successor's prepare voids the nonce of the deposed controller.
	_, own := sendOrder(t, e, "/v1/orders/prepare", jsonObject{"fence": 5, "seq": 1})
	require.NotEqual(t, old.Nonce, own.Nonce)
	status, a := sendOrder(t, e, "/v1/orders", jsonObject{"fence": 4, "seq": 2, "role": "prefill", "nonce": old.Nonce})
	require.Equal(t, http.StatusConflict, status)
	require.Equal(t, StateRefused, a.State)
	require.Equal(t, ReasonNonce, a.Error)
	status, _ = sendOrder(t, e, "/v1/orders", jsonObject{"fence": 5, "seq": 2, "role": "prefill"})
	require.Equal(t, http.StatusConflict, status, "an order without a nonce")
	require.Equal(t, camphorhinge.RoleMixed, readTarget(t, e).Role)

	status, a = sendOrder(t, e, "/v1/orders", jsonObject{"fence": 5, "seq": 2, "role": "decode", "nonce": own.Nonce})
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, StateChanging, a.State)
	require.Equal(t, own.Revision+1, a.Revision)
	awaitRole(t, e, camphorhinge.RoleDecode)
	require.Equal(t, camphorhinge.LastOrder{Fence: 5, Seq: 2, State: StateDone}, readTarget(t, e).Last)

	// A read-back after the next prepare shows an order that took effect before it.
	_, before := sendOrder(t, e, "/v1/orders/prepare", jsonObject{"fence": 6, "seq": 1})
	status, _ = sendOrder(t, e, "/v1/orders", jsonObject{"fence": 6, "seq": 2, "role": "mixed", "nonce": before.Nonce})
	require.Equal(t, http.StatusOK, status)
	_, after := sendOrder(t, e, "/v1/orders/prepare", jsonObject{"fence": 7, "seq": 1})
	require.Equal(t, before.Revision+1, after.Revision)
	require.EqualValues(t, 6, readTarget(t, e).Last.Fence)
}

// TestConditionalOverHTTP guards against an engine on which a late order still meets its condition after the successor
// has raised the revision by an empty order (a touch), and against a touch that aborts sequences or changes anything
// else.
func TestConditionalOverHTTP(t *testing.T) {
	e := startEngine(t, Config{
		Incarnation: 7, Fencing: camphorhinge.FencingIgnored, Orders: camphorhinge.OrdersConditional, ChangeTime: time.Millisecond,
	})
	first := readTarget(t, e)
	expect := func(revision uint64) jsonObject { return jsonObject{"incarnation": 7, "revision": revision} }

	// The successor's touch only raises the revision.
	status, touch := sendOrder(t, e, "/v1/orders", jsonObject{"fence": 5, "seq": 1, "expect": expect(first.Revision)})
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, StateDone, touch.State)
	require.Equal(t, first.Revision+1, touch.Revision)
	now := readTarget(t, e)
	require.Equal(t, first.Role, now.Role)
	require.False(t, now.Busy)
	require.Zero(t, e.Counters().Changes)

	for name, late := range map[string]jsonObject{
		"expects the revision before the touch": {"fence": 4, "seq": 9, "role": "prefill", "expect": expect(first.Revision)},
		"expects an earlier incarnation":        {"fence": 4, "seq": 9, "role": "prefill", "expect": jsonObject{"incarnation": 6, "revision": touch.Revision}},
		"has no condition":                      {"fence": 4, "seq": 9, "role": "prefill"},
	} {
		status, a := sendOrder(t, e, "/v1/orders", late)
		require.Equal(t, http.StatusConflict, status, name)
		require.Equal(t, ReasonCondition, a.Error, name)
		require.Equal(t, touch.Revision, a.Revision, name)
	}
	require.Zero(t, e.Counters().Changes)

	status, a := sendOrder(t, e, "/v1/orders", jsonObject{"fence": 5, "seq": 2, "role": "decode", "expect": expect(touch.Revision)})
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, StateChanging, a.State)
	awaitRole(t, e, camphorhinge.RoleDecode)
	require.Equal(t, 1, e.Counters().Changes)
}
