package daemon

import (
	"time"

	"fescuehoist.example/mesh/call"
	"fescuehoist.example/mesh/proxy"
)

// observers tells several observers of each call.
type observers []proxy.Observer

// ObserveCall passes the call on to each.
func (os observers) ObserveCall(r *call.Request, took time.Duration, err error) {
	for _, o := range os {
		o.ObserveCall(r, took, err)
	}
}
