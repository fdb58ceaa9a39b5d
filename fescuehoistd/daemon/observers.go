package daemon

import (
	"time"

	"fescuehoist.example/mesh/call"
	"fescuehoist.example/mesh/proxy"
)

// observers is a proxy.Observer that notifies several observers of each call.
type observers []proxy.Observer

// Called notifies each observer in order.
func (os observers) Called(r *call.Request, took time.Duration, err error) {
	for _, o := range os {
		o.Called(r, took, err)
	}
}
