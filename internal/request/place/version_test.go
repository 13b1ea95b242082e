package place

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/record/routing"
)

// TestSoftwareVersions guards against a continued stream that is placed on another version, and against streams that begin on
// the only engine of a version, where none could continue them, while others have room.
func TestSoftwareVersions(t *testing.T) {
	v1, v3 := camphorhinge.SoftwareVersion("v1"), camphorhinge.SoftwareVersion("v3")
	for _, tc := range []struct {
		name     string
		versions []camphorhinge.SoftwareVersion
		req      Request
		want     camphorhinge.SoftwareVersion
	}{
		{"begins where two engines generate", []camphorhinge.SoftwareVersion{"v1", "v2", "v2"}, Request{Resumable: true}, "v2"},
		{"continues on the only engine", []camphorhinge.SoftwareVersion{"v1", "v2", "v2"}, Request{Resumable: true, Software: &v1}, "v1"},
		{"begins on the only engine of all", []camphorhinge.SoftwareVersion{"v1"}, Request{Resumable: true}, "v1"},
		{"no engine of the version", []camphorhinge.SoftwareVersion{"v1", "v2", "v2"}, Request{Resumable: true, Software: &v3}, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var live []*camphorhinge.Target
			for i, v := range tc.versions {
				live = append(live, &camphorhinge.Target{Serving: true, Announcement: camphorhinge.Announcement{
					Name: camphorhinge.TargetName(fmt.Sprintf("e%d", i)), Service: "s", Zone: "z", Kind: camphorhinge.KindEngine, Role: camphorhinge.RoleDecode,
					Software: v, Slots: 64, Incarnation: 1,
				}})
			}
			p := New(Config{Zone: "z", Central: true})
			tc.req.Service, tc.req.Engine = "s", &routing.Engine{Slots: 64, CacheCapacity: 500_000, LinkMbps: 1e6, TokenBytes: 100}
			tc.req.Prompt, tc.req.Output, tc.req.Zone = 100, 10, "z"
			for now := range camphorhinge.Instant(10) {
				placed, ok := p.Place(1+now, live, tc.req)
				require.Equal(t, tc.want != "", ok)
				if ok {
					require.Equal(t, tc.want, placed.Serve.Software)
					placed.Close(2 + now)
				}
			}
		})
	}
}
