// Package balance keeps the engines of a service divided between the prefill and the decode role as the load needs it.
//
// Plan is a pure function from the engines and the measured load to the next role changes. Balancer runs on the leader and
// orders them, one order at a time for each engine. An engine says in its announcements which role it has, and counts the
// orders that it accepted; an order names that count, so that a late one has no effect after a later one.
package balance
