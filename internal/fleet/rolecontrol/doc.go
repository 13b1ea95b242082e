// Package rolecontrol decides every 5 s, for each model service, whether an engine changes its role. It runs on the
// lease holder.
//
// MakePlan is pure: it builds the input of role.Decide from the service's record, its engines and the demand. The
// Controller calls it periodically and passes a requested change to a Planner, which selects the engine and orders the
// change.
//
// # Engines that can't change
//
// An engine that ignores the fencing token and takes plain orders gets none unless the service's record says unfenced.
// It counts as capacity, but is never chosen for a change.
//
// # Floors that are not met
//
// Engines announce a role of their own, so a fleet may be all mixed while the record asks for prefill and decode
// engines. Floors are set by the operator, so such changes need no gain and the record's weights don't apply to them.
// They are made one at a time: none while another engine of the service changes, in quiet hours, or before the history
// is long enough to estimate the demand. Each moves an engine from the role with the largest surplus over its floor to
// the role with the largest shortfall; ties are broken in the order mixed, decode, prefill for the former, and prefill,
// decode, mixed for the latter. It is made only when the remaining engines serve the expected demand with headroom,
// both during the change and after it. Otherwise the floor stays unmet and role.Decide decides as usual, which never
// takes an engine from a role at or below its floor. Where the floors exceed the number of engines, the excess stays
// unmet.
package rolecontrol
