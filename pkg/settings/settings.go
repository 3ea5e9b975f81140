// Package settings defines the flags and environment variables of both programs and
// checks their values. All invalid settings are reported together.
package settings

import (
	"fmt"
	"net/url"
	"slices"
	"strings"
	"time"
)

// Logs holds the settings of the logs.
type Logs struct {
	Format string `long:"log-format" env:"ACACIAGLADE_LOG_FORMAT" default:"text" description:"Format of the logs: text or json."`
	Level  string `long:"log-level" env:"ACACIAGLADE_LOG_LEVEL" default:"info" description:"Lowest level that is logged: debug, info, warning or error."`
}

// TLS holds the certificate of a server.
type TLS struct {
	Certificate string `long:"tls-certificate" env:"ACACIAGLADE_TLS_CERTIFICATE" description:"PEM file of the server's certificate. Empty: plain HTTP."`
	Key         string `long:"tls-key" env:"ACACIAGLADE_TLS_KEY" description:"PEM file of the certificate's key."`
}

// Resources holds what a process may use.
type Resources struct {
	MemoryMB       int `long:"memory-mb" env:"ACACIAGLADE_MEMORY_MB" default:"0" description:"Memory of the process, in MB. What clients can make it hold is limited to a part of it. 0: a third more than GOMEMLIMIT, or 1024 if that is not set."`
	MaxDescriptors int `long:"max-descriptors" env:"ACACIAGLADE_MAX_DESCRIPTORS" default:"0" description:"Number of descriptors of the process. Connections of clients are limited to a part of it. 0: the limit of the system (ulimit -n)."`
}

// minMemoryMB is the least memory of a process: several times what it takes at rest.
const minMemoryMB = 64

// minDescriptors is the least number of descriptors of a process.
const minDescriptors = 64

// Common holds the settings that both programs have.
type Common struct {
	Name          string        `long:"name" env:"ACACIAGLADE_NAME" description:"Name of this host, as in the host list. Required."`
	FailureDomain string        `long:"failure-domain" env:"ACACIAGLADE_FAILURE_DOMAIN" description:"Failure domain of this host. Required."`
	Listen        string        `long:"listen" env:"ACACIAGLADE_LISTEN" default:"127.0.0.1:8080" description:"Address to listen on."`
	PeerToken     string        `long:"peer-token" env:"ACACIAGLADE_PEER_TOKEN" description:"Shared secret of calls between the system's own processes, at least 16 characters. Required."`
	ObjectAPI     string        `long:"object-api" env:"ACACIAGLADE_OBJECT_API" description:"Base URL of the platform's object API. Required."`
	ObjectTimeout time.Duration `long:"object-timeout" env:"ACACIAGLADE_OBJECT_TIMEOUT" default:"2s" description:"Timeout of a request to the object API."`
	StopTimeout   time.Duration `long:"stop-timeout" env:"ACACIAGLADE_STOP_TIMEOUT" default:"11m" description:"Maximum wait for running requests at a planned stop. Set it above the longest time limit of a request, so that no request is aborted."`
	DrainDelay    time.Duration `long:"leave-delay" env:"ACACIAGLADE_LEAVE_DELAY" default:"2s" description:"Minimum time for which a draining process still responds, and refuses new work. Set it above the interval of the load balancer's checks for an entry, and to at least the entries' --max-report-age for an agent, after which no entry sends it requests."`
	ClockError    time.Duration `long:"clock-error" env:"ACACIAGLADE_CLOCK_ERROR" default:"500ms" description:"Maximum difference between the clocks of two hosts."`
	Resources     Resources     `group:"Resources"`
	Logs          Logs          `group:"Logs"`
	TLS           TLS           `group:"TLS"`
}

// Entry holds the settings of an entry.
type Entry struct {
	Common
	HostList             string        `long:"host-list" env:"ACACIAGLADE_HOST_LIST" description:"Base URL of the platform's host list. Required."`
	OperatorToken        string        `long:"operator-token" env:"ACACIAGLADE_OPERATOR_TOKEN" description:"Bearer token of the operators, at least 16 characters. Required."`
	HostsInterval        time.Duration `long:"hosts-interval" env:"ACACIAGLADE_HOSTS_INTERVAL" default:"2s" description:"Time between two reads of the host list."`
	ReportInterval       time.Duration `long:"report-interval" env:"ACACIAGLADE_REPORT_INTERVAL" default:"250ms" description:"Time between two requests for an agent's report."`
	MaxReportAge         time.Duration `long:"max-report-age" env:"ACACIAGLADE_MAX_REPORT_AGE" default:"2s" description:"Age beyond which a report is not used to select an upstream."`
	SubsetSize           int           `long:"subset-size" env:"ACACIAGLADE_SUBSET_SIZE" default:"0" description:"Number of upstreams of each service that this entry uses, taken evenly from all failure domains. 0 uses all. All entries need the same value."`
	MaxBodyBytes         int64         `long:"max-body-bytes" env:"ACACIAGLADE_MAX_BODY_BYTES" default:"1048576" description:"Maximum size of a request body, in bytes."`
	DefaultDeadline      time.Duration `long:"default-deadline" env:"ACACIAGLADE_DEFAULT_DEADLINE" default:"60s" description:"Time limit of a request that sets none."`
	MaxDeadline          time.Duration `long:"max-deadline" env:"ACACIAGLADE_MAX_DEADLINE" default:"10m" description:"Maximum time limit of a request."`
	MaxWaiting           int           `long:"max-waiting" env:"ACACIAGLADE_MAX_WAITING" default:"256" description:"Maximum number of requests that one organisation may have queued for one service at this entry."`
	MaxWaitingTotal      int           `long:"max-waiting-total" env:"ACACIAGLADE_MAX_WAITING_TOTAL" default:"16384" description:"Number of requests that may be queued for one service at this entry. Once it is reached, each organisation may have only one."`
	NoUpstreamAfter      time.Duration `long:"no-upstream-after" env:"ACACIAGLADE_NO_UPSTREAM_AFTER" default:"2s" description:"Time for which a service may have no upstream that accepts work before its requests are refused. 0 keeps them queued until their deadline."`
	QueuePerOrganisation int           `long:"line-per-organisation" env:"ACACIAGLADE_LINE_PER_ORGANISATION" default:"2" description:"Maximum number of requests of one organisation that this entry may have queued at the agent of one busy upstream."`
	QueueHorizon         time.Duration `long:"line-horizon" env:"ACACIAGLADE_LINE_HORIZON" default:"80ms" description:"Time before its estimated start from which a request may be sent to the queue of a busy upstream's agent."`
	CeilingBurst         time.Duration `long:"ceiling-burst" env:"ACACIAGLADE_CEILING_BURST" default:"1s" description:"Time over which unused tokens of a ceiling accumulate."`
	SilenceTimeout       time.Duration `long:"silence" env:"ACACIAGLADE_SILENCE" default:"2s" description:"Time after which a silent response stream is abandoned and resumed on a new connection."`
	StatusQueryTimeout   time.Duration `long:"ask-timeout" env:"ACACIAGLADE_ASK_TIMEOUT" default:"1s" description:"Timeout of a query to an agent for the state of a request."`
	RetryRatio           float64       `long:"retry-ratio" env:"ACACIAGLADE_RETRY_RATIO" default:"0.1" description:"Number of retries that each request adds to the retry budget."`
	RetryBurst           float64       `long:"retry-burst" env:"ACACIAGLADE_RETRY_BURST" default:"10" description:"Maximum number of retries that can accumulate in the retry budget."`
	AvoidAfterFailure    time.Duration `long:"avoid-after-failure" env:"ACACIAGLADE_AVOID_AFTER_FAILURE" default:"250ms" description:"Time for which an upstream is not selected after a failed attempt."`
}

// Agent holds the settings of an agent.
type Agent struct {
	Common
	Service           string        `long:"service" env:"ACACIAGLADE_SERVICE" description:"Service that the upstream serves. Required."`
	ModelEngine       bool          `long:"model" env:"ACACIAGLADE_MODEL" description:"The upstream is a model engine."`
	UpstreamURL       string        `long:"upstream" env:"ACACIAGLADE_UPSTREAM" description:"Base URL of the upstream. Required."`
	HeartbeatInterval time.Duration `long:"heartbeat" env:"ACACIAGLADE_HEARTBEAT" default:"500ms" description:"Time between heartbeats on an idle response stream."`
	OrphanTimeout     time.Duration `long:"orphan" env:"ACACIAGLADE_ORPHAN" default:"10s" description:"Time after which a response that no entry reads is cancelled or removed."`
	SampleInterval    time.Duration `long:"sample-interval" env:"ACACIAGLADE_SAMPLE_INTERVAL" default:"200ms" description:"Time between two samples of the upstream's load."`
	MinConcurrency    int           `long:"min-room" env:"ACACIAGLADE_MIN_ROOM" default:"1" description:"Maximum number of requests that a cold upstream may run at once."`
	MaxConcurrency    int           `long:"max-room" env:"ACACIAGLADE_MAX_ROOM" default:"16" description:"Maximum number of requests that a warm upstream may run at once."`
	QueueLimit        int           `long:"line" env:"ACACIAGLADE_LINE" default:"64" description:"Maximum number of requests that may be queued at the agent until the upstream has capacity."`
	ReservedCapacity  int           `long:"reserved" env:"ACACIAGLADE_RESERVED" default:"0" description:"Part of the upstream's capacity that only priority organisations may use, in requests."`
	HealthyStep       time.Duration `long:"healthy-step" env:"ACACIAGLADE_HEALTHY_STEP" default:"27ms" description:"Longest step time of a healthy upstream."`
	GrowEvery         time.Duration `long:"grow-every" env:"ACACIAGLADE_GROW_EVERY" default:"200ms" description:"Minimum time between two increases of the number of requests that may run at once."`
	Group             Group         `group:"Rank group"`
}

// FieldError is one invalid setting.
type FieldError struct {
	// Flag is the long name of the flag.
	Flag string
	// Remedy describes the valid values.
	Remedy string
}

// FieldErrors are all invalid settings. They are an error whose message contains the
// remedies.
type FieldErrors []FieldError

// Error lists the invalid settings, one on each line.
func (fs FieldErrors) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = fmt.Sprintf("--%s: %s", f.Flag, f.Remedy)
	}
	return strings.Join(lines, "\n")
}

// MinSecretLength is the minimum length of a secret, in bytes.
const MinSecretLength = 16

// Maximum values of an entry's settings, so that agents accept its attempts.
const (
	maxBodyBytes = 32 << 20
	maxDeadline  = 12 * time.Hour
)

// Valid values of the log settings.
var (
	logFormats = []string{"text", "json"}
	logLevels  = []string{"debug", "info", "warning", "error"}
)

// checker collects the invalid settings.
type checker struct {
	fieldErrors FieldErrors
}

func (c *checker) require(ok bool, flag, remedy string) {
	if !ok {
		c.fieldErrors = append(c.fieldErrors, FieldError{Flag: flag, Remedy: remedy})
	}
}

func (c *checker) requireURL(value, flag string) {
	u, err := url.Parse(value)
	c.require(err == nil && u.Host != "" && (u.Scheme == "http" || u.Scheme == "https"), flag, "give a URL such as http://127.0.0.1:8001")
}

func (c *checker) requirePositive(d time.Duration, flag string) {
	c.require(d > 0, flag, "give a time above 0, such as 2s")
}

func (c *checker) checkCommon(s *Common) {
	c.require(s.Name != "", "name", "give the host's name")
	c.require(s.FailureDomain != "", "failure-domain", "give the host's failure domain")
	c.require(len(s.PeerToken) >= MinSecretLength, "peer-token", "give a secret of at least 16 characters")
	c.requireURL(s.ObjectAPI, "object-api")
	c.requirePositive(s.ObjectTimeout, "object-timeout")
	c.require(slices.Contains(logFormats, s.Logs.Format), "log-format", "give one of: "+strings.Join(logFormats, " "))
	c.require(slices.Contains(logLevels, s.Logs.Level), "log-level", "give one of: "+strings.Join(logLevels, " "))
	c.requirePositive(s.StopTimeout, "stop-timeout")
	c.require(s.DrainDelay >= 0 && s.DrainDelay < s.StopTimeout, "leave-delay", "give a time of at least 0 and below --stop-timeout")
	c.require(s.ClockError >= 0, "clock-error", "give a time of at least 0")
	c.require(s.Resources.MemoryMB == 0 || s.Resources.MemoryMB >= minMemoryMB, "memory-mb", "give 0 or at least 64")
	c.require(s.Resources.MaxDescriptors == 0 || s.Resources.MaxDescriptors >= minDescriptors, "max-descriptors", "give 0 or at least 64")
	c.require((s.TLS.Certificate == "") == (s.TLS.Key == ""), "tls-key", "give both --tls-certificate and --tls-key, or neither")
}

// Check returns all invalid settings of an entry as FieldErrors, or nil.
func (s *Entry) Check() error {
	c := &checker{}
	c.checkCommon(&s.Common)
	c.requireURL(s.HostList, "host-list")
	c.require(len(s.OperatorToken) >= MinSecretLength, "operator-token", "give a secret of at least 16 characters")
	c.requirePositive(s.HostsInterval, "hosts-interval")
	c.requirePositive(s.ReportInterval, "report-interval")
	c.require(s.MaxReportAge > s.ReportInterval, "max-report-age", "give a time above --report-interval")
	c.require(s.SubsetSize >= 0, "subset-size", "give 0 for all, or at least 12 so that every upstream is used by some entry")
	c.require(s.MaxBodyBytes > 0 && s.MaxBodyBytes <= maxBodyBytes, "max-body-bytes", "give a number from 1 to 33554432")
	c.requirePositive(s.DefaultDeadline, "default-deadline")
	c.require(s.MaxDeadline >= s.DefaultDeadline && s.MaxDeadline <= maxDeadline, "max-deadline", "give at least --default-deadline and at most 12h")
	c.require(s.StopTimeout > s.MaxDeadline, "stop-timeout", "give a time above --max-deadline, so that a stop aborts no request")
	c.require(s.MaxWaiting > 0, "max-waiting", "give a number above 0")
	c.require(s.QueuePerOrganisation >= 0, "line-per-organisation", "give a number of at least 0")
	c.require(s.NoUpstreamAfter >= 0, "no-upstream-after", "give a time of at least 0")
	c.require(s.QueueHorizon >= 0, "line-horizon", "give a time of at least 0")
	c.require(s.MaxWaitingTotal > 0, "max-waiting-total", "give a number above 0")
	c.requirePositive(s.CeilingBurst, "ceiling-burst")
	c.requirePositive(s.SilenceTimeout, "silence")
	c.requirePositive(s.StatusQueryTimeout, "ask-timeout")
	c.require(s.RetryRatio >= 0 && s.RetryRatio <= 1, "retry-ratio", "give a number from 0 to 1")
	c.require(s.RetryBurst >= 1, "retry-burst", "give a number of at least 1")
	c.require(s.AvoidAfterFailure >= 0, "avoid-after-failure", "give a time of at least 0")
	return c.err()
}

// Check returns all invalid settings of an agent as FieldErrors, or nil.
func (s *Agent) Check() error {
	c := &checker{}
	c.checkCommon(&s.Common)
	c.require(s.Service != "", "service", "give the service's name")
	c.requireURL(s.UpstreamURL, "upstream")
	c.requirePositive(s.HeartbeatInterval, "heartbeat")
	c.requirePositive(s.OrphanTimeout, "orphan")
	c.requirePositive(s.SampleInterval, "sample-interval")
	c.require(s.MinConcurrency >= 1, "min-room", "give a number of at least 1")
	c.require(s.QueueLimit >= 0, "line", "give a number of at least 0")
	c.require(s.ReservedCapacity >= 0 && s.ReservedCapacity < s.MaxConcurrency, "reserved", "give a number from 0 to below --max-room")
	c.require(s.MaxConcurrency >= s.MinConcurrency, "max-room", "give at least --min-room")
	c.requirePositive(s.HealthyStep, "healthy-step")
	c.requirePositive(s.GrowEvery, "grow-every")
	c.checkGroup(&s.Group)
	return c.err()
}

func (c *checker) err() error {
	if len(c.fieldErrors) == 0 {
		return nil
	}
	return c.fieldErrors
}
