package retry

// String describes the event as the decision log prints it.
func (e Event) String() string {
	switch e {
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
	case EventNotContinued:
		return "the answer does not continue the one that has begun"
	case EventUpstreamError:
		return "the upstream answered with an error"
	case EventMoved:
		return "the upstream is slow or unresponsive, and another one was acquired"
	case EventComplete:
		return "the whole answer was relayed"
	default:
		return "unknown event"
	}
}

// String describes the action as the decision log prints it.
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
