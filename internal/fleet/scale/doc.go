// Package scale orders the number of engines of each service from the provider.
//
// Planner determines the wanted number of regular and reclaimable engines in each zone from the engines, the recent load, prices, refusals
// and the time, all of which are inputs; it has no clock and makes no calls. Controller runs on every core node, and orders the wanted numbers while its node holds the
// duties.
//
// The wanted numbers have the least cost at which the engines carry the load with a reserve for a burst, and carry it without that
// reserve after the loss of all reclaimable engines of any one zone. Engines are added at once and removed in steps, and only as far as the
// engines that serve at that moment are more than needed, so that replacements serve before anything is removed.
package scale
