// Package allowance bounds the requests of client accounts over all daemons together.
package allowance

// Count is what daemons have counted of the requests of one account.
type Count struct {
	Account string
	// Offered is the rate of requests, in requests a second, whether admitted or not.
	Offered float64
	// Used is the number of requests that were admitted within the window and that did not
	// end as not run.
	Used float64
}

// Limit says which of the requests of an account daemons may admit. Accounts without one
// have room for all their requests.
type Limit struct {
	Account string
	// Share is the share of the offered requests to admit, 0 to 1.
	Share float64
	// Room is the number of requests that all daemons together may still admit.
	Room float64
}
