package web

import (
	"context"
	"net/http"

	"github.com/cloudwego/hertz/pkg/app"

	"example.org/camphorhinge/internal/request/buffer"
	"example.org/camphorhinge/internal/request/ingress"
)

// holdBody returns middleware that reads the body of each request into memory of a pool, until the handler has returned. It answers a
// request whose body is over the limit in bytes with 413, one whose body can't be held now with 503, one whose body was ended for
// another one with 408, and one whose body breaks off with 400. Their connections are closed, as the rest of the body is not read.
func holdBody(bodies *buffer.Pool, limit int64, onRefused func(owner, reason string)) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		stream, length := ingress.Body(c, readTimeout)
		if stream == nil {
			c.Next(ctx)
			return
		}
		refuse := func(status int, message string) {
			c.SetConnectionClose()
			c.AbortWithStatusJSON(status, map[string]string{"error": message})
		}
		owner := c.RemoteAddr().String()
		full := func(reason string) {
			if onRefused != nil {
				onRefused(owner, reason)
			}
			refuse(http.StatusServiceUnavailable, reason)
		}
		if length > limit {
			refuse(http.StatusRequestEntityTooLarge, "the body is too large")
			return
		}
		if !bodies.Fits(owner, max(length, 0)) {
			full("no memory for the body now")
			return
		}
		body := bodies.Buffer(owner)
		defer body.Free()
		more, err := body.ReadAll(stream, length, limit)
		switch {
		case buffer.IsFull(err):
			full(err.Error())
		case buffer.IsSlow(err):
			refuse(http.StatusRequestTimeout, err.Error())
		case err != nil:
			refuse(http.StatusBadRequest, "the body could not be read: "+err.Error())
		case more:
			refuse(http.StatusRequestEntityTooLarge, "the body is too large")
		case int64(len(body.Bytes())) < length:
			refuse(http.StatusBadRequest, "the body is shorter than its content length")
		default:
			c.Request.SetBodyRaw(body.Bytes())
			c.Next(ctx)
		}
	}
}
