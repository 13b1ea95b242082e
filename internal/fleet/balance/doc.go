// Package balance divides the engines of a service between the prefill and the decode role according to the load.
//
// Plan is a pure function from the engines and the measured load to the next role changes. Balancer runs on the
// leader and orders them, one order at a time for each engine. An engine announces its role and counts the orders
// that it accepted; an order names that count, so that a late order has no effect after a later one.
package balance
