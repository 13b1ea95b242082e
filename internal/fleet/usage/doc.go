// Package usage reports to the provider how many requests of each workspace began to run in each window of true time.
//
// Entry nodes count (Meter) and send their counts to two core nodes each, which keep them for a while (Collector). The holder of the
// provider duties collects the counts of a window from all core nodes, commits them as the content of its report (Machine), and sends
// that content until the provider has accepted it (Reporter). Thus two reports for one window never differ, whoever sends them.
//
// Window k begins k times the window's length after the Unix epoch.
package usage
