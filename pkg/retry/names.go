package retry

// String returns the kind in words.
func (k EventKind) String() string {
	switch k {
	case NotRun:
		return "the attempt did not run"
	case NotSent:
		return "no byte of the attempt was sent"
	case Rejected:
		return "the attempt was rejected"
	case Silent:
		return "the stream broke or went silent"
	case Running:
		return "the attempt runs or has finished"
	case Unknown:
		return "it is unknown whether the attempt ran"
	case Differs:
		return "another run gave another answer"
	case Errored:
		return "the upstream answered with an error"
	case Moved:
		return "the upstream is slow, and another one was acquired"
	case Complete:
		return "the whole answer was relayed"
	default:
		return "unknown event"
	}
}

// String returns the action in words.
func (a Action) String() string {
	switch a {
	case Done:
		return "complete"
	case Ask:
		return "ask the agent"
	case Resume:
		return "resume the answer"
	case Again:
		return "try again"
	case RefuseNotRun:
		return "refuse as not run"
	case RefuseUnknown:
		return "refuse as unknown"
	case BreakOff:
		return "break the answer off"
	default:
		return "unknown action"
	}
}
