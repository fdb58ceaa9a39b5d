package daemon

import (
	"time"

	"fescuehoist.example/mesh/call"
	"fescuehoist.example/mesh/proxy"
)

// observers is a proxy.Observer that notifies several observers of each call.
type observers []proxy.Observer

// ObserveCall notifies each observer in order.
func (os observers) ObserveCall(r *call.Request, duration time.Duration, err error) {
	for _, o := range os {
		o.ObserveCall(r, duration, err)
	}
}
