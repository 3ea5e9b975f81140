// Package table defines the operators' table of organisations, services, failure domains
// and upstream marks, and validates its rows. The platform's configuration has the same
// type, and adds keys, routes and limits. The package does no I/O.
//
// An Index provides the look-ups that requests need. For storage and for replication to
// other entries, a table is split into a Head and Pages of organisations, so that a change
// of one row rewrites only the head and a few pages.
package table

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"

	"github.com/acaciaglade/acaciaglade/pkg/api"
)

// Organisation is one row of the table.
type Organisation struct {
	// Name identifies the organisation.
	Name string `json:"name" validate:"required,max=63,hostname_rfc1123"`
	// TokenHash is the SHA-256 of the bearer token in hexadecimal.
	TokenHash string `json:"token_hash" validate:"required,len=64,hexadecimal"`
	// Weight is the organisation's relative share of the capacity.
	Weight int `json:"weight" validate:"min=1,max=1000000"`
	// Ceiling is the largest cost, in tokens per second, that the organisation may use
	// in the whole fleet. 0 means no ceiling.
	Ceiling int `json:"ceiling" validate:"min=0,max=1000000000"`
	// Priority is true when the organisation's requests go before those of organisations
	// without priority in the queues.
	Priority bool `json:"priority"`
	// EnginePriority is the priority of the organisation's requests at engines, as
	// the platform configures it: 0 is served first. If nil, the route's priority
	// applies.
	EnginePriority *int `json:"-" validate:"-"`
}

// Key is an additional key of an organisation.
type Key struct {
	Organisation string `json:"organisation"`
	// Hash is the SHA-256 of the key in hexadecimal.
	Hash string `json:"hash"`
}

// ServiceKind distinguishes model engines from plain services.
type ServiceKind string

// Kinds of services.
const (
	KindModel ServiceKind = "model"
	KindPlain ServiceKind = "plain"
)

// Service is a model or plain HTTP service that upstreams provide.
type Service struct {
	// Name is the model's name, or the first path segment of a plain service.
	Name string `json:"name" validate:"required,max=63,hostname_rfc1123"`
	// Kind is "model" or "plain".
	Kind ServiceKind `json:"kind" validate:"required,oneof=model plain"`
	// IdempotentPaths lists path prefixes below the service whose requests may be
	// repeated with any method. GET and HEAD requests may always be repeated.
	IdempotentPaths []string `json:"idempotent_paths,omitempty" validate:"dive,startswith=/"`
	// MaxConnections is the number of connections that one upstream accepts, 0 if
	// unknown.
	MaxConnections int `json:"max_connections,omitempty" validate:"-"`
	// ColdPerSecond is the number of requests per second that a cold upstream can
	// serve, 0 if it is never cold.
	ColdPerSecond float64 `json:"cold_per_second,omitempty" validate:"-"`
	// Engine is set when the platform configures the service's engines.
	Engine *Engine `json:"engine,omitempty" validate:"-"`
}

// FailureDomain is a part of the fleet that fails together and is taken out of service
// together.
type FailureDomain struct {
	Name string `json:"name" validate:"required,max=63,hostname_rfc1123"`
	// OutOfService is true while the failure domain is out of service.
	OutOfService bool `json:"out"`
}

// UpstreamMark takes one upstream out of service.
type UpstreamMark struct {
	Name         string `json:"name" validate:"required,max=63,hostname_rfc1123"`
	OutOfService bool   `json:"out"`
}

// Table is one version of the configuration.
type Table struct {
	// Version increases by one with each accepted change.
	Version        uint64          `json:"version"`
	Organisations  []Organisation  `json:"organisations" validate:"dive"`
	Services       []Service       `json:"services" validate:"dive"`
	FailureDomains []FailureDomain `json:"failure_domains" validate:"dive"`
	Upstreams      []UpstreamMark  `json:"upstreams" validate:"dive"`
	// Keys, Routes and Limits come from the platform's configuration. Without
	// routes, requests are routed by model and by service name.
	Keys   []Key   `json:"keys,omitempty" validate:"-"`
	Routes []Route `json:"routes,omitempty" validate:"-"`
	Limits *Limits `json:"limits,omitempty" validate:"-"`
}

// HashToken returns the hash by which a bearer token is stored.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// Clone returns a deep copy.
func (t *Table) Clone() *Table {
	c := *t
	c.Organisations = slices.Clone(t.Organisations)
	c.Services = slices.Clone(t.Services)
	for i := range c.Services {
		c.Services[i].IdempotentPaths = slices.Clone(c.Services[i].IdempotentPaths)
	}
	c.FailureDomains = slices.Clone(t.FailureDomains)
	c.Upstreams = slices.Clone(t.Upstreams)
	return &c
}

// Marks returns the marks in the table. They are the part of it that agents hold.
func (t *Table) Marks() api.Marks {
	m := api.Marks{Version: t.Version, OutFailureDomains: []string{}, OutUpstreams: []string{}}
	for _, d := range t.FailureDomains {
		if d.OutOfService {
			m.OutFailureDomains = append(m.OutFailureDomains, d.Name)
		}
	}
	for _, u := range t.Upstreams {
		if u.OutOfService {
			m.OutUpstreams = append(m.OutUpstreams, u.Name)
		}
	}
	return m
}

// SetFailureDomainOut marks a failure domain as out of service or in service. It reports
// whether the failure domain exists.
func (t *Table) SetFailureDomainOut(name string, out bool) bool {
	i := slices.IndexFunc(t.FailureDomains, func(d FailureDomain) bool { return d.Name == name })
	if i < 0 {
		return false
	}
	t.FailureDomains[i].OutOfService = out
	return true
}

// SetUpstreamOut marks an upstream as out of service or in service. It adds a row if
// there is none.
func (t *Table) SetUpstreamOut(name string, out bool) {
	i := slices.IndexFunc(t.Upstreams, func(u UpstreamMark) bool { return u.Name == name })
	if i < 0 {
		t.Upstreams = append(t.Upstreams, UpstreamMark{Name: name, OutOfService: out})
		return
	}
	t.Upstreams[i].OutOfService = out
}
