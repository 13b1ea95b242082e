package routing

import "unsafe"

// Sizes of values in memory, without what they refer to.
const (
	routeSize     = int64(unsafe.Sizeof(Route{}))
	shareSize     = int64(unsafe.Sizeof(Share{}))
	serviceSize   = int64(unsafe.Sizeof(Service{}))
	engineSize    = int64(unsafe.Sizeof(Engine{}))
	scalingSize   = int64(unsafe.Sizeof(Scaling{}))
	workspaceSize = int64(unsafe.Sizeof(Workspace{}))
	digestSize    = int64(unsafe.Sizeof(KeyDigest{}))
	rankSize      = int64(unsafe.Sizeof(int(0)))
	// smallMapSize is that of a Scaling.ZonePrices of up to smallMap elements, priceSize that of each further one.
	smallMap, smallMapSize, priceSize = 8, 256, 64
)

// size estimates the memory that a configuration takes. It is counted from the content, as the ratio to the operator's document varies:
// measured, it is 1.2 for a document of 1.2 MB with routes as the platform writes them, and 4.3 for one of many short keys. TestSize compares
// the estimate with measured sizes.
func (c *Config) size() int64 {
	n := int64(cap(c.Routes))*routeSize + int64(cap(c.Services))*serviceSize + int64(cap(c.Workspaces))*workspaceSize
	for i := range c.Routes {
		r := &c.Routes[i]
		n += text(r.Name) + text(r.Host) + text(r.Prefix) + int64(cap(r.Shares))*shareSize
		for j := range r.Shares {
			n += text(string(r.Shares[j].Service))
		}
	}
	for i := range c.Services {
		n += c.Services[i].size()
	}
	for i := range c.Workspaces {
		w := &c.Workspaces[i]
		n += text(string(w.Name)) + int64(cap(w.Keys))*digestSize
		if w.Rank != nil {
			n += rankSize
		}
	}
	return n
}

// size estimates the memory that a service refers to.
func (s *Service) size() int64 {
	n := text(string(s.Name)) + text(s.HealthPath)
	if s.Engine != nil {
		n += engineSize
	}
	if s.Scaling != nil {
		n += scalingSize
		prices := s.Scaling.ZonePrices
		if prices != nil {
			n += smallMapSize + int64(max(len(prices)-smallMap, 0))*priceSize
		}
		for zone := range prices {
			n += text(string(zone))
		}
	}
	return n
}

// text returns the memory that the characters of a string take: the allocator rounds small sizes up to 8 bytes or more.
func text(s string) int64 { return int64(len(s)+7) &^ 7 }
