package call

// Verdict says whether a request may have run.
type Verdict uint8

const (
	// NotRun means that no backend server ran the request.
	NotRun Verdict = iota
	// MayHaveRun means that a backend server may have run the request.
	MayHaveRun
	// Ran means that a backend server ran the request and answered.
	Ran
)

// String returns the verdict in the form sent to callers.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not-run"
	case MayHaveRun:
		return "may-have-run"
	case Ran:
		return "ran"
	}
	return "unknown"
}

// ParseVerdict parses the form that String returns. For any other text it
// returns MayHaveRun and false.
func ParseVerdict(text string) (Verdict, bool) {
	for v := NotRun; v <= Ran; v++ {
		if v.String() == text {
			return v, true
		}
	}
	return MayHaveRun, false
}
