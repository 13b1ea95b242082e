// Package rolecontrol decides on the lease holder, every 5 s and for each model service, whether an engine changes its role.
//
// Step is pure: it builds the input of role.Decide from the service's record, its engines and the demand. The Steerer
// calls it by the clock and hands a wanted change to a Planner, which chooses the engine and orders it.
//
// # Engines that can't change
//
// An engine that ignores the fencing token and takes plain orders gets none unless the service's record says unfenced.
// It counts as capacity, but no change takes it from its role.
//
// # Floors that are not met
//
// Engines announce a role of their own, so a fleet may be all mixed while the record asks for prefill and decode engines.
// Floors are the operator's word, so such changes need no gain and the record's weights don't apply to them. They come
// one at a time: none while another engine of the service changes, in quiet hours, or before the history is long enough
// to know the demand. Each moves an engine from the role with the most engines above its floor to the role with the most
// below it; ties go by the order mixed, decode, prefill for the former, and prefill, decode, mixed for the latter. It is
// made only when the other engines serve the expected demand with room to spare, both during the change and after it.
// Otherwise the floor stays unmet and role.Decide decides as usual, which never takes an engine from a role at or below
// its floor. Floors that ask for more engines than there are stay unmet as far as they do.
package rolecontrol
