package call

// Notice is what a backend server says about itself in an answer.
type Notice struct {
	// RateLimited means that the backend server names the number of requests a
	// second, RateLimit, that it accepts from all daemons together.
	RateLimited bool
	RateLimit   float64
	// Leaving means that the backend server will stop soon.
	Leaving bool
}
