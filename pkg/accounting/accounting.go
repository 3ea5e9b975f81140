// Package accounting counts each organisation's requests, the tokens delivered for
// them, and its refusals by reason. It does no I/O. Its memory is bounded: only
// organisations that sent requests have an account, and those beyond a limit share
// one.
package accounting

import (
	"cmp"
	"math"
	"slices"
	"strings"

	"github.com/acaciaglade/acaciaglade/pkg/problem"
)

// Other is the name of the account of all organisations beyond the limit. It is not a
// valid name of an organisation.
const Other = "(other)"

// Unknown is the name of the account of requests without a known organisation. It is
// not a valid name of an organisation.
const Unknown = "(unknown)"

// RefusalCount counts the refusals with the same reason and the same Ran.
type RefusalCount struct {
	Reason problem.Reason `json:"reason"`
	Ran    problem.Ran    `json:"ran"`
	Count  uint64         `json:"count"`
}

// Account counts the requests of one organisation since the process started.
type Account struct {
	Organisation string `json:"organisation"`
	// Requests is the number of requests, RequestedCost their expected cost in tokens.
	Requests      uint64  `json:"asked"`
	RequestedCost float64 `json:"asked_cost"`
	// Completed is the number of complete responses, DeliveredCost the tokens of all
	// responses, complete or not.
	Completed     uint64  `json:"completed"`
	DeliveredCost float64 `json:"got_cost"`
	// Refused is the number of refusals for any reason.
	Refused  uint64         `json:"refused"`
	Refusals []RefusalCount `json:"refusals,omitempty"`
}

// Request is a request that has ended.
type Request struct {
	// Organisation is empty when it is unknown.
	Organisation  string
	RequestedCost float64
	DeliveredCost float64
	// Refusal is nil when the complete response was delivered.
	Refusal *problem.Problem
}

// Accounts holds the accounts of one process. It is not safe for concurrent use.
type Accounts struct {
	limit  int
	byName map[string]*Account
}

// New returns an empty set of accounts. At most limit organisations get an account of
// their own.
func New(limit int) *Accounts {
	return &Accounts{limit: limit, byName: make(map[string]*Account)}
}

// Record adds a request that has ended.
func (a *Accounts) Record(r Request) {
	account := a.account(r.Organisation)
	account.Requests++
	account.RequestedCost += r.RequestedCost
	account.DeliveredCost += r.DeliveredCost
	if r.Refusal == nil {
		account.Completed++
		return
	}
	account.addRefusals(r.Refusal.Reason, r.Refusal.Ran, 1)
}

// account returns the account of an organisation, or the shared one beyond the limit. It
// creates the account if necessary.
func (a *Accounts) account(organisation string) *Account {
	name := cmp.Or(organisation, Unknown)
	account, ok := a.byName[name]
	if ok {
		return account
	}
	if len(a.byName) >= a.limit {
		name = Other
	}
	account, ok = a.byName[name]
	if !ok {
		account = &Account{Organisation: name}
		a.byName[name] = account
	}
	return account
}

func (c *Account) addRefusals(reason problem.Reason, ran problem.Ran, count uint64) {
	c.Refused += count
	i := slices.IndexFunc(c.Refusals, func(f RefusalCount) bool { return f.Reason == reason && f.Ran == ran })
	if i < 0 {
		c.Refusals = append(c.Refusals, RefusalCount{Reason: reason, Ran: ran, Count: count})
		return
	}
	c.Refusals[i].Count += count
}

// Query selects accounts.
type Query struct {
	// Organisation selects one account; empty selects all.
	Organisation string
	// Limit is the highest number of accounts to return. 0 means all.
	Limit int
}

// Select returns copies of the selected accounts, those with the most requests first.
func (a *Accounts) Select(q Query) []Account {
	out := []Account{}
	for name, account := range a.byName {
		if q.Organisation == "" || q.Organisation == name {
			c := *account
			c.Refusals = slices.Clone(account.Refusals)
			out = append(out, c)
		}
	}
	return sortAndLimit(out, q.Limit)
}

// Merge adds up the accounts of several processes by organisation, and returns those
// with the most requests first. limit is the highest number of accounts to return; 0
// means all.
func Merge(limit int, lists ...[]Account) []Account {
	merged := New(math.MaxInt)
	for _, list := range lists {
		for i := range list {
			merged.add(&list[i])
		}
	}
	return merged.Select(Query{Limit: limit})
}

func (a *Accounts) add(from *Account) {
	to := a.account(from.Organisation)
	to.Requests += from.Requests
	to.RequestedCost += from.RequestedCost
	to.Completed += from.Completed
	to.DeliveredCost += from.DeliveredCost
	for _, f := range from.Refusals {
		to.addRefusals(f.Reason, f.Ran, f.Count)
	}
}

// sortAndLimit sorts accounts by descending number of requests and returns the first limit
// of them.
func sortAndLimit(accounts []Account, limit int) []Account {
	slices.SortFunc(accounts, func(x, y Account) int {
		return cmp.Or(cmp.Compare(y.Requests, x.Requests), strings.Compare(x.Organisation, y.Organisation))
	})
	if limit > 0 && len(accounts) > limit {
		return accounts[:limit]
	}
	return accounts
}
