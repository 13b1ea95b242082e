package order

import (
	"encoding/json"

	"example.org/camphorhinge"
)

type op string

const (
	// opBegin raises the highest term; its result shows that the Table contains everything that earlier terms
	// committed.
	opBegin op = "begin"
	// opDecide stores the decision for an engine.
	opDecide op = "decide"
	// opRecord opens an order, which may be sent once the command is committed.
	opRecord op = "record"
	// opResolve stores the outcome of the open order, and closes the order unless the outcome is Unknown.
	opResolve op = "resolve"
	// opRemove removes the entry of an engine that has no open order.
	opRemove op = "forget"
)

// code is the result of a command.
type code string

const (
	codeOK       code = "ok"
	codeStale    code = "stale"    // the term is below the highest recorded
	codeOpen     code = "open"     // another order of the engine is open
	codeSequence code = "sequence" // the sequence is not above the engine's highest
	codeDiffers  code = "differs"  // the order does not follow from the decision
	codeClosed   code = "closed"   // the order is not the open one
	codeAbsent   code = "absent"   // the engine has no decision
	codeFull     code = "full"     // the Table has maxEngines entries
	codeCorrupt  code = "corrupt"  // the command is malformed
)

// command is one change of the Table, as encoded in the replicated log. Op selects the fields that it uses besides
// Term.
type command struct {
	Op       op                       `json:"op"`
	Term     camphorhinge.Term        `json:"term"`
	Engine   camphorhinge.TargetName  `json:"engine,omitempty"`
	Service  camphorhinge.ServiceName `json:"service,omitempty"`
	Desired  Desired                  `json:"desired"`
	Draining bool                     `json:"draining,omitempty"`
	Order    *Order                   `json:"order,omitempty"`
}

// result is the Table's encoded answer to a command: the code and the highest term recorded.
type result struct {
	Code code              `json:"code"`
	Term camphorhinge.Term `json:"term"`
}

func mustEncode(v any) []byte {
	out, err := json.Marshal(v)
	if err != nil {
		panic("order: plain fields can't be encoded: " + err.Error())
	}
	return out
}
