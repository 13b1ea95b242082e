package discovery

import (
	"context"
	"time"

	"example.org/camphorhinge"
	"example.org/camphorhinge/internal/node/peer/peerpb"
	"example.org/camphorhinge/internal/request/admit"
)

// reportDemand sends the demand on this node to all other nodes. An empty report is sent as well, since the others may
// then use this node's share. A lost report is not repeated, since the next one replaces it.
func (s *Service) reportDemand(ctx context.Context) {
	takenAt := time.Now()
	demands := s.cfg.Demands()
	s.seq++
	r := &peerpb.DemandReport{Start: s.start, Seq: s.seq}
	for _, d := range demands[:min(len(demands), admit.MaxDemands)] {
		r.Demands = append(r.Demands, &peerpb.Demand{
			Workspace: string(d.Workspace), Bucket: uint32(d.Bucket), Requests: float32(d.Requests), Tokens: float32(d.Tokens),
		})
	}
	r.Age = uint64(time.Since(takenAt).Milliseconds())
	for _, err := range s.sendTo(ctx, s.cfg.Others(), &peerpb.AnnounceRequest{Node: string(s.cfg.Node), Demand: r}) {
		if err != nil {
			s.demandFailed.Inc()
			continue
		}
		s.demandSent.Inc()
	}
}

func decodeReport(node string, r *peerpb.DemandReport) admit.Report {
	report := admit.Report{
		Node: camphorhinge.NodeID(node), Start: r.GetStart(), Seq: r.GetSeq(),
		// The bound prevents an overflow by an invalid age.
		Age: time.Duration(min(r.GetAge(), uint64(admit.ReportExpiry.Milliseconds()))) * time.Millisecond,
	}
	for _, d := range r.GetDemands()[:min(len(r.GetDemands()), admit.MaxDemands)] {
		if d.GetBucket() > uint32(camphorhinge.MaxPriority) {
			continue
		}
		report.Demands = append(report.Demands, admit.Demand{
			Workspace: camphorhinge.WorkspaceName(d.GetWorkspace()), Bucket: camphorhinge.Priority(d.GetBucket()),
			Requests: float64(d.GetRequests()), Tokens: float64(d.GetTokens()),
		})
	}
	return report
}
