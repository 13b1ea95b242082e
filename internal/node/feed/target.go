package feed

import (
	"time"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/node/peer/peerpb"
)

func encodeTarget(a *camphorhinge.Announcement, age time.Duration) *peerpb.TargetState {
	out := &peerpb.TargetState{
		Name: string(a.Name), Service: string(a.Service), Address: a.Address, Zone: string(a.Zone), Incarnation: uint64(a.Incarnation),
		Seq: uint64(a.Seq), Kind: a.Kind, Role: string(a.Role), Fencing: string(a.Fencing), Orders: string(a.Orders),
		Slots: uint32(max(a.Slots, 0)), Revision: a.Revision, Leaving: a.Leaving, Left: a.Left, Busy: a.Busy,
		Age: uint64(max(age, 0).Milliseconds()), Software: string(a.Software), Spot: a.Spot, LeavesIn: uint64(max(a.LeavesIn, 0)),
	}
	for _, m := range a.Models {
		out.Models = append(out.Models, string(m))
	}
	for _, x := range a.Adapters {
		out.Adapters = append(out.Adapters, string(x))
	}
	return out
}

func decodeTarget(t *peerpb.TargetState) (camphorhinge.Announcement, time.Duration) {
	out := camphorhinge.Announcement{
		Name: camphorhinge.TargetName(t.GetName()), Service: camphorhinge.ServiceName(t.GetService()), Address: t.GetAddress(),
		Zone: camphorhinge.Zone(t.GetZone()), Incarnation: camphorhinge.Incarnation(t.GetIncarnation()),
		Seq: camphorhinge.Sequence(t.GetSeq()), Kind: t.GetKind(), Role: camphorhinge.Role(t.GetRole()),
		Fencing: camphorhinge.Fencing(t.GetFencing()), Orders: camphorhinge.OrderProtocol(t.GetOrders()),
		Slots: int(t.GetSlots()), Revision: t.GetRevision(), Leaving: t.GetLeaving(), Left: t.GetLeft(), Busy: t.GetBusy(),
		Software: camphorhinge.SoftwareVersion(t.GetSoftware()), Spot: t.GetSpot(), LeavesIn: int64(t.GetLeavesIn()),
	}
	for _, m := range t.GetModels() {
		out.Models = append(out.Models, camphorhinge.ModelName(m))
	}
	for _, x := range t.GetAdapters() {
		out.Adapters = append(out.Adapters, camphorhinge.AdapterName(x))
	}
	return out, time.Duration(t.GetAge()) * time.Millisecond
}
