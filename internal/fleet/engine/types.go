package engine

import "example.org/camphorhinge"

// Expect is the condition of an order: the engine's state as the sender last read it.
type Expect struct {
	Incarnation camphorhinge.Incarnation `json:"incarnation"`
	Revision    uint64                   `json:"revision"`
}

// Order is the body of an order. An order without role, models and adapters is a touch: it only raises the engine's
// highest fence and its revision.
type Order struct {
	Fence    camphorhinge.Term          `json:"fence"`
	Seq      camphorhinge.Sequence      `json:"seq"`
	Expect   *Expect                    `json:"expect,omitempty"`
	Role     camphorhinge.Role          `json:"role,omitempty"`
	Models   []camphorhinge.ModelName   `json:"models,omitempty"`
	Adapters []camphorhinge.AdapterName `json:"adapters"`
	Nonce    string                     `json:"nonce,omitempty"`
}

// Outcome classifies the answer to an order.
type Outcome string

const (
	// Done means that the engine accepted the order and carried it out.
	Done Outcome = "done"
	// Changing means that the engine accepted the order and is carrying it out.
	Changing Outcome = "changing"
	// Refused means that the engine did not accept the order and won't accept this copy of it later.
	Refused Outcome = "refused"
	// Unknown means that the engine may have accepted the order, or may still accept it.
	Unknown Outcome = "unknown"
)

// Result is the outcome of an order or a prepare.
type Result struct {
	Outcome Outcome
	// Reason is the engine's reason for a refusal.
	Reason string
	// Incarnation and Revision are the engine's state after the call; they are zero when the outcome is Unknown.
	Incarnation camphorhinge.Incarnation
	Revision    uint64
	// Nonce is set by a prepare that was not refused.
	Nonce string
	// Err is the cause of an Unknown outcome.
	Err error
}

// answer is the body of an engine's answer to an order or a prepare.
type answer struct {
	State       string                   `json:"state"`
	Error       string                   `json:"error"`
	Incarnation camphorhinge.Incarnation `json:"incarnation"`
	Revision    uint64                   `json:"revision"`
	Nonce       string                   `json:"nonce"`
}
