package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// routesPerStep is the number of routes by which one version grows.
	routesPerStep = 350
	// growthSteps is the number of such versions.
	growthSteps  = 12
	stepInterval = time.Second
	// probeTime is how long clients probe the routes of the last version.
	probeTime = 8 * time.Second
)

var (
	droppedRoute = Route{"r-dropped", "/sefi862/", true}
	addedRoute   = Route{"r-added", "/rany210/", true}
)

// manyRoutes: the configuration grows by many routes, and then a version drops one
// route and adds another.
func manyRoutes(root, dir string) (bool, error) {
	l, err := NewLab(root, dir, 3, 13, 10*time.Millisecond)
	if err != nil {
		return false, err
	}
	defer l.Close()
	for _, u := range l.Upstreams {
		u.OnRun = func(a Arrival, r *http.Request) error {
			l.Record.Logf("%s runs request %s %s", a.Instance, a.ID, r.URL.Path)
			return nil
		}
	}
	version, routes := firstVersion, append([]Route{droppedRoute}, mainRoutes...)
	put := func(what string) error {
		version += 3
		if err := l.Store.Put("config", "main", Configuration(version, service, routes)); err != nil {
			return err
		}
		l.Record.Logf("the operator writes version %d with %d routes (%s); the store confirms it", version, len(routes), what)
		return nil
	}
	if err := put("first routes"); err != nil {
		return false, err
	}
	if err := l.Start(); err != nil {
		return false, err
	}
	time.Sleep(stableWindow + time.Second)
	steps := growthSteps
	if !l.Trouble {
		steps = 0
	}
	for step := range steps {
		for i := range routesPerStep {
			n := step*routesPerStep + i
			routes = append(routes, Route{fmt.Sprintf("r-idle-%d", n), fmt.Sprintf("/i%d/", n), true})
		}
		if err := put(fmt.Sprintf("%d routes more", routesPerStep)); err != nil {
			return false, err
		}
		time.Sleep(stepInterval)
	}
	time.Sleep(configTime)
	routes = append(routes[1:], addedRoute)
	if err := put("drops " + droppedRoute.Path + ", adds " + addedRoute.Path); err != nil {
		return false, err
	}
	confirmed := time.Now()
	served, denied, requests := 0, 0, 0
	for time.Since(confirmed) < configTime+probeTime {
		time.Sleep(200 * time.Millisecond)
		for _, m := range l.Machines {
			late := time.Since(confirmed) > configTime
			dropped := Send(m, "GET", droppedRoute.Path+"x", nil, searchDeadline)
			added := Send(m, "GET", addedRoute.Path+"x", nil, searchDeadline)
			if !late {
				continue
			}
			requests += 2
			if dropped.Err == nil && dropped.Status == http.StatusOK {
				served++
			}
			if added.Err == nil && added.Status == http.StatusNotFound {
				denied++
			}
		}
	}
	l.Record.Resultf("of %d requests sent later than %s after the confirmation of version %d, %d ran on the dropped route and %d on the added route got 404", requests, configTime, version, served, denied)
	return served+denied > 0, nil
}
