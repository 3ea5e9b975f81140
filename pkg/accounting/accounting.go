// Package accounting counts what each organisation asked for, what it got, and
// what it was refused and why. It is pure. Its memory is bounded: only
// organisations that sent something are held, and beyond a limit they are
// counted together.
package accounting

import (
	"cmp"
	"math"
	"slices"
	"strings"

	"github.com/acaciaglade/acaciaglade/pkg/problem"
)

// Other is the name under which organisations beyond the limit are counted. It
// can't be the name of an organisation.
const Other = "(other)"

// Unknown is the name under which requests without a known organisation are
// counted. It can't be the name of an organisation.
const Unknown = "(unknown)"

// RefusalCount counts the refusals of one reason.
type RefusalCount struct {
	Reason problem.Reason `json:"reason"`
	Ran    problem.Ran    `json:"ran"`
	Count  uint64         `json:"count"`
}

// Account is what one organisation asked for and got since the process started.
type Account struct {
	Organisation string `json:"organisation"`
	// Requests counts requests, RequestedCost their expected cost in tokens.
	Requests      uint64  `json:"asked"`
	RequestedCost float64 `json:"asked_cost"`
	// Completed counts whole answers, DeliveredCost the tokens of all answers, whole
	// or not.
	Completed     uint64  `json:"completed"`
	DeliveredCost float64 `json:"got_cost"`
	// Refused counts refusals of all reasons.
	Refused  uint64         `json:"refused"`
	Refusals []RefusalCount `json:"refusals,omitempty"`
}

// Request is one ended request.
type Request struct {
	// Organisation is empty when it isn't known.
	Organisation  string
	RequestedCost float64
	DeliveredCost float64
	// Refusal is nil when the whole answer was delivered.
	Refusal *problem.Problem
}

// Accounts is the accounts of one process. It is not safe for concurrent use.
type Accounts struct {
	limit int
	held  map[string]*Account
}

// New returns empty accounts of at most limit organisations, besides those that
// are counted together.
func New(limit int) *Accounts {
	return &Accounts{limit: limit, held: make(map[string]*Account)}
}

// Record adds one ended request.
func (a *Accounts) Record(r Request) {
	account := a.account(r.Organisation)
	account.Requests++
	account.RequestedCost += r.RequestedCost
	account.DeliveredCost += r.DeliveredCost
	if r.Refusal == nil {
		account.Completed++
		return
	}
	account.refuse(r.Refusal.Reason, r.Refusal.Ran, 1)
}

func (a *Accounts) account(organisation string) *Account {
	name := cmp.Or(organisation, Unknown)
	account, ok := a.held[name]
	if ok {
		return account
	}
	if len(a.held) >= a.limit {
		name = Other
	}
	account, ok = a.held[name]
	if !ok {
		account = &Account{Organisation: name}
		a.held[name] = account
	}
	return account
}

func (c *Account) refuse(reason problem.Reason, ran problem.Ran, count uint64) {
	c.Refused += count
	i := slices.IndexFunc(c.Refusals, func(f RefusalCount) bool { return f.Reason == reason && f.Ran == ran })
	if i < 0 {
		c.Refusals = append(c.Refusals, RefusalCount{Reason: reason, Ran: ran, Count: count})
		return
	}
	c.Refusals[i].Count += count
}

// Query chooses accounts.
type Query struct {
	// Organisation chooses one; empty chooses all.
	Organisation string
	// Limit is the most accounts that are returned. 0 means all.
	Limit int
}

// Select returns copies of the chosen accounts, those that asked most first.
func (a *Accounts) Select(q Query) []Account {
	out := []Account{}
	for name, account := range a.held {
		if q.Organisation == "" || q.Organisation == name {
			c := *account
			c.Refusals = slices.Clone(account.Refusals)
			out = append(out, c)
		}
	}
	return first(out, q.Limit)
}

// Merge adds up the accounts of several processes by organisation, those that
// asked most first. limit is the most that are returned; 0 means all.
func Merge(limit int, parts ...[]Account) []Account {
	sum := New(math.MaxInt)
	for _, part := range parts {
		for i := range part {
			sum.add(&part[i])
		}
	}
	return sum.Select(Query{Limit: limit})
}

func (a *Accounts) add(from *Account) {
	to := a.account(from.Organisation)
	to.Requests += from.Requests
	to.RequestedCost += from.RequestedCost
	to.Completed += from.Completed
	to.DeliveredCost += from.DeliveredCost
	for _, f := range from.Refusals {
		to.refuse(f.Reason, f.Ran, f.Count)
	}
}

// first sorts accounts and keeps the first.
func first(accounts []Account, limit int) []Account {
	slices.SortFunc(accounts, func(x, y Account) int {
		return cmp.Or(cmp.Compare(y.Requests, x.Requests), strings.Compare(x.Organisation, y.Organisation))
	})
	if limit > 0 && len(accounts) > limit {
		return accounts[:limit]
	}
	return accounts
}
