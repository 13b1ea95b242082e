// Package server assembles the serve process from its parts: the four ports, the node's copy of the configuration, the
// replica of the durable state where the node has a data folder, and the planned stop.
package server
