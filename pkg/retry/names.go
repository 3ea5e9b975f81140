package retry

// String returns the kind in words.
func (k Event) String() string {
	switch k {
	case EventNotRun:
		return "the attempt did not run"
	case EventNotSent:
		return "no byte of the attempt was sent"
	case EventRejected:
		return "the attempt was rejected"
	case EventSilent:
		return "the stream broke or went silent"
	case EventRunning:
		return "the attempt runs or has finished"
	case EventUnknown:
		return "it is unknown whether the attempt ran"
	case EventRerunDiffers:
		return "another run gave another answer"
	case EventUpstreamError:
		return "the upstream answered with an error"
	case EventMoved:
		return "the upstream is slow, and another one was acquired"
	case EventComplete:
		return "the whole answer was relayed"
	default:
		return "unknown event"
	}
}

// String returns the action in words.
func (a Action) String() string {
	switch a {
	case ActionFinish:
		return "complete"
	case ActionQueryStatus:
		return "ask the agent"
	case ActionResume:
		return "resume the answer"
	case ActionRetry:
		return "try again"
	case ActionRefuseNotRun:
		return "refuse as not run"
	case ActionRefuseUnknown:
		return "refuse as unknown"
	case ActionAbort:
		return "break the answer off"
	default:
		return "unknown action"
	}
}
