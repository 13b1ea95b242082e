// Package camphorhinge declares the identifiers, units and interfaces that the packages below it share.
//
// It holds no logic. Implementations live under internal/, two levels deep by area. Imports go in one direction: from
// cli to node, then to request, fleet and record, then to state, then to this package.
package camphorhinge
