package discovery

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/route"

	"example.org/camphorhinge/internal/fleet/registry"
)

// AnnouncePath is the path at which targets announce themselves.
const AnnouncePath = "/v1/announce"

// Handler serves the announcement endpoint of the target port.
type Handler struct {
	registry *registry.Registry
	// token returns the token that targets must send, or "" when none is required.
	token func() string
}

// NewHandler returns a Handler that passes announcements to reg and gets the required token from token.
func NewHandler(reg *registry.Registry, token func() string) *Handler {
	return &Handler{registry: reg, token: token}
}

// Register adds the routes of the target port to r.
func (h *Handler) Register(r route.IRoutes) {
	r.POST(AnnouncePath, h.announce)
}

type errorBody struct {
	Error string `json:"error"`
}

func (h *Handler) announce(_ context.Context, c *app.RequestContext) {
	if want := h.token(); want != "" {
		got := strings.TrimPrefix(string(c.GetHeader("Authorization")), "Bearer ")
		if subtle.ConstantTimeCompare([]byte(got), []byte(want)) != 1 {
			writeJSON(c, http.StatusUnauthorized, errorBody{Error: "expected the targets' token as a bearer token"})
			return
		}
	}
	a, err := registry.Decode(c.Request.Body())
	if err != nil {
		writeJSON(c, http.StatusBadRequest, errorBody{Error: err.Error()})
		return
	}
	// The response reports whether the announcement is newer than the recorded one.
	newer, err := h.registry.Announce(a, 0, true)
	if err != nil {
		writeJSON(c, http.StatusServiceUnavailable, errorBody{Error: err.Error()})
		return
	}
	writeJSON(c, http.StatusOK, struct {
		Newer bool `json:"newer"`
	}{newer})
}

func writeJSON(c *app.RequestContext, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic("encode answer: " + err.Error()) // Answers have only marshalable fields.
	}
	c.Data(status, "application/json", data)
}
