package call

// Condition is what a backend server says in an answer about the load that it takes
// and about its end.
type Condition struct {
	// RateLimited means that the backend server names the number of requests a
	// second, RateLimit, that it accepts from all daemons together.
	RateLimited bool
	RateLimit   float64
	// Leaving means that the backend server will stop soon.
	Leaving bool
}
