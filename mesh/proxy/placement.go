package proxy

import (
	"context"
	"fmt"
	"time"

	"fescuehoist.example/mesh/call"
	"fescuehoist.example/mesh/hedge"
	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/route"
	"fescuehoist.example/mesh/target"
)

// Explainer tells where a call from a caller would go now, and why, without making it. It
// asks the same components as Outbound, in the same order, and changes nothing. A
// component that cannot be explained is nil.
type Explainer struct {
	Outbound *Outbound
	Accounts AccountExplainer
	Throttle ThrottleExplainer
	Retries  RetryExplainer
	Hedges   HedgeExplainer
	Picker   PickExplainer
}

// AccountExplainer decides about a call as Accounts does.
type AccountExplainer interface {
	// AuthorizeAs decides about a call whose caller presents a key of the named account,
	// or none if the name is empty.
	AuthorizeAs(r *call.Request, t *route.Table, name string) *call.Failure
}

// ThrottleExplainer explains the decision of a Throttle.
type ThrottleExplainer interface {
	// AllowedShare returns the share of calls that Allow would let through.
	AllowedShare(service, class, client string) float64
}

// RetryExplainer explains the decision of Retries.
type RetryExplainer interface {
	// Available returns the retries in the budgets of a call's service and class.
	Available(r *call.Request) (service, class float64)
}

// HedgeExplainer explains the decision of Hedges.
type HedgeExplainer interface {
	// Explain returns the delay of a copy, or why none would be sent.
	Explain(r *call.Request, left time.Duration) (time.Duration, hedge.Obstacle)
}

// PickExplainer explains the choice of a Picker.
type PickExplainer interface {
	Explain(s *route.Service, q route.Query) route.Explanation
}

// PlacementQuery describes a call that is not made.
type PlacementQuery struct {
	// Service is the name by which the caller calls, Method and URI are those of the
	// request.
	Service, Method, URI string
	// Account is the client account whose key the caller would present, empty without one.
	Account string
	// Bytes is the size of the request's body.
	Bytes int
}

// Placement tells where a call would go.
type Placement struct {
	// Version is the configuration version that routes the call.
	Version manifest.Version
	// Class is nil if the call has none. Its rank is the one that the call has for its
	// account.
	Class *target.Class
	// Account is nil if the call needs none.
	Account *target.Account
	// Refusal is the failure with which the call would be refused before a destination is
	// chosen, or nil.
	Refusal *call.Failure
	// Destinations are the services to which the class's calls go.
	Destinations []Destination
}

// Destination tells what a call would meet if it went to one of the services of its class.
type Destination struct {
	target.Share
	// Refusal is the failure with which the call would be refused for lack of a server,
	// or nil.
	Refusal *call.Failure
	// Allowed is the share of calls that the throttle lets through.
	Allowed float64
	// ServiceRetries and ClassRetries are the retries that the budgets hold.
	ServiceRetries, ClassRetries float64
	// HedgeDelay is the time after which a copy would be sent, 0 if none would be, because
	// of HedgeObstacle.
	HedgeDelay    time.Duration
	HedgeObstacle hedge.Obstacle
	// HedgeServer is the server to which the copy would go, nil without a copy.
	HedgeServer *member.Record
	// Servers explains the choice of the backend server.
	Servers route.Explanation
}

// UnknownAccountError says that the configuration has no account of a name.
type UnknownAccountError struct {
	Name    string
	Version manifest.Version
}

// Error names the account and the version.
func (e *UnknownAccountError) Error() string {
	return fmt.Sprintf("account: expected the name of a client account of version %d, found %q", e.Version, e.Name)
}

// Explain returns where a call would go. The error is an *UnknownAccountError if the
// configuration in force has no account of the given name.
func (e *Explainer) Explain(q PlacementQuery) (*Placement, error) {
	t := e.Outbound.Routes.Table()
	result := &Placement{Version: t.Version()}
	if q.Account != "" && t.Accounts().ByName(q.Account) == nil {
		return nil, &UnknownAccountError{Name: q.Account, Version: t.Version()}
	}
	r := &call.Request{Service: q.Service, Method: q.Method, URI: q.URI, Arrived: time.Now()}
	// The content of the body is unknown; only its size matters, and whether it is too
	// large for a copy.
	r.Body = make([]byte, min(q.Bytes, hedge.MaxBodySize+1))
	if err := classify(t, r); err != nil {
		result.Refusal = e.Outbound.checkOutdated(asFailure(err), t)
		return result, nil
	}
	result.Class = r.Class
	if e.Accounts != nil {
		if f := e.Accounts.AuthorizeAs(r, t, q.Account); f != nil {
			result.Refusal = e.Outbound.checkOutdated(f, t)
			return result, nil
		}
		result.Account = t.Accounts().ByName(r.Account)
	}
	result.Class = r.Class
	ctx, cancel := context.WithTimeout(context.Background(), r.Class.Timeout)
	defer cancel()
	if !e.Outbound.endsInTime(ctx) {
		result.Refusal = call.Refuse(call.Draining, errStopping)
	}
	for _, share := range r.Class.Shares(r.Service) {
		to := *r
		to.Service = share.Service
		result.Destinations = append(result.Destinations, e.destination(t, &to, share, q.Bytes))
	}
	return result, nil
}

// destination explains a call with a body of the given size that goes to the service of r.
func (e *Explainer) destination(t *route.Table, r *call.Request, share target.Share, body int) Destination {
	d := Destination{Share: share, Allowed: 1}
	if e.Throttle != nil {
		d.Allowed = e.Throttle.AllowedShare(r.Service, r.ClassName, throttledClient(r))
	}
	if e.Retries != nil {
		d.ServiceRetries, d.ClassRetries = e.Retries.Available(r)
	}
	d.HedgeObstacle = hedge.Off
	if e.Hedges != nil {
		d.HedgeDelay, d.HedgeObstacle = e.Hedges.Explain(r, r.Class.Timeout)
	}
	if e.Picker == nil {
		return d
	}
	query := queryFor(r)
	query.Body = body
	s := t.Service(r.Service)
	if s != nil {
		d.Servers = e.Picker.Explain(s, query)
	}
	if d.Servers.Chosen == nil {
		d.Refusal = e.Outbound.noServerLeft(r, nil)
		return d
	}
	if d.HedgeObstacle == "" {
		e.explainCopy(&d, s, r)
	}
	return d
}

// explainCopy adds the server of a copy that the hedge budget permits, or what prevents the
// copy nevertheless.
func (e *Explainer) explainCopy(d *Destination, s *route.Service, r *call.Request) {
	if e.Retries != nil && min(d.ServiceRetries, d.ClassRetries) < 1 {
		d.HedgeDelay, d.HedgeObstacle = 0, hedge.NoRetryBudget
		return
	}
	d.HedgeServer = e.Picker.Explain(s, hedge.QueryForCopy(queryFor(r), d.Servers.Chosen.Server)).Chosen
	if d.HedgeServer == nil {
		d.HedgeDelay, d.HedgeObstacle = 0, hedge.NoFreeServer
	}
}
