// Package table defines the operators' table: organisations, services, failure
// domains and upstream marks, and the checks of its rows. It does no I/O.
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
	// Weight is the organisation's relative share.
	Weight int `json:"weight" validate:"min=1,max=1000000"`
	// Ceiling is the most cost in tokens per second that the organisation may
	// use over the whole fleet. 0 means no ceiling.
	Ceiling int `json:"ceiling" validate:"min=0,max=1000000000"`
	// Priority is true when the organisation is served first on arrival.
	Priority bool `json:"priority"`
	// EngineRank is the rank that the platform gives the organisation's work at
	// engines, 0 first. Nil leaves it to the route.
	EngineRank *int `json:"-" validate:"-"`
}

// Key is one of the further keys of an organisation.
type Key struct {
	Organisation string `json:"organisation"`
	// Hash is the SHA-256 of the key in hexadecimal.
	Hash string `json:"hash"`
}

// ServiceKind tells model engines from plain services.
type ServiceKind string

// Kinds of services.
const (
	KindModel ServiceKind = "model"
	KindPlain ServiceKind = "plain"
)

// Service is something that upstreams serve.
type Service struct {
	// Name is the model's name, or the first path segment of a plain service.
	Name string `json:"name" validate:"required,max=63,hostname_rfc1123"`
	// Kind is "model" or "plain".
	Kind ServiceKind `json:"kind" validate:"required,oneof=model plain"`
	// IdempotentPaths lists the path prefixes below the service whose calls may
	// be repeated whatever their method. GET and HEAD always may.
	IdempotentPaths []string `json:"idempotent_paths,omitempty" validate:"dive,startswith=/"`
	// MaxConnections is how many connections one upstream takes, 0 if unknown.
	MaxConnections int `json:"max_connections,omitempty" validate:"-"`
	// ColdPerSecond is how many requests a second a cold upstream bears, 0 if it
	// is never cold.
	ColdPerSecond float64 `json:"cold_per_second,omitempty" validate:"-"`
	// Engine is set when the platform describes the service's engines.
	Engine *Engine `json:"engine,omitempty" validate:"-"`
}

// FailureDomain is a part of the fleet that fails and is taken out together.
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

// Table is the whole configuration at one version.
type Table struct {
	// Version grows by one with each accepted change.
	Version        uint64          `json:"version"`
	Organisations  []Organisation  `json:"organisations" validate:"dive"`
	Services       []Service       `json:"services" validate:"dive"`
	FailureDomains []FailureDomain `json:"failure_domains" validate:"dive"`
	Upstreams      []UpstreamMark  `json:"upstreams" validate:"dive"`
	// Keys, Routes and Limits come from the platform's configuration. Without
	// routes, calls are routed by model and by service name.
	Keys   []Key   `json:"keys,omitempty" validate:"-"`
	Routes []Route `json:"routes,omitempty" validate:"-"`
	Limits *Limits `json:"limits,omitempty" validate:"-"`
}

// HashToken returns the form in which a bearer token is kept.
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

// Marks returns the part of the table that agents hold.
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

// SetFailureDomainOut marks a failure domain out of service or in. It reports
// whether the failure domain exists.
func (t *Table) SetFailureDomainOut(name string, out bool) bool {
	i := slices.IndexFunc(t.FailureDomains, func(d FailureDomain) bool { return d.Name == name })
	if i < 0 {
		return false
	}
	t.FailureDomains[i].OutOfService = out
	return true
}

// SetUpstreamOut marks an upstream out of service or in, adding a row when there
// is none.
func (t *Table) SetUpstreamOut(name string, out bool) {
	i := slices.IndexFunc(t.Upstreams, func(u UpstreamMark) bool { return u.Name == name })
	if i < 0 {
		t.Upstreams = append(t.Upstreams, UpstreamMark{Name: name, OutOfService: out})
		return
	}
	t.Upstreams[i].OutOfService = out
}
