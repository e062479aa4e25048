// Package settings reads and checks the TOML settings of a process. A process learns its addresses
// and its availability zone from here only. Load reports every mistake of a file at once.
package settings

import (
	"time"
)

// Settings is one file. It may serve both roles of an entry host; each role reads its own table.
// All times are in milliseconds unless the key's suffix says otherwise.
type Settings struct {
	// HostID names the entry host, as in the platform's host list. Required. Tickets carry it, so a
	// changed id makes every ticket of the old one end "may have run".
	HostID string `toml:"host_id"`
	// Region names the region, such as "be-central". Required. Dispatchers own engine groups of
	// their region only; a wrong value leaves groups without an owner.
	Region string `toml:"region"`
	// AvailabilityZone names the availability zone inside the region. Required. Requests prefer
	// dispatchers of this zone; a wrong value adds the delay between zones to each request.
	AvailabilityZone string `toml:"availability_zone"`

	Gateway    Gateway    `toml:"gateway"`
	Dispatcher Dispatcher `toml:"dispatcher"`
	Entry      Entry      `toml:"entry"`
	Platform   Platform   `toml:"platform"`
	Admin      Admin      `toml:"admin"`
	Log        Log        `toml:"log"`
	Trace      Trace      `toml:"trace"`
}

// Gateway holds the settings of the gateway role.
type Gateway struct {
	// HTTPAddress is the IP address and port for callers. Required for the role. It must be the
	// address that callers can reach, because it is handed out by GET /v1/addresses.
	HTTPAddress string `toml:"http_address"`
	// ControlAddress is the IP address and TCP port for calls of other processes. Required for the
	// role. Ticket forwarding from other gateways arrives here.
	ControlAddress string `toml:"control_address"`
	// GossipAddress is the IP address and UDP port for membership. Required for the role.
	GossipAddress string `toml:"gossip_address"`
	// AdminAddress is the IP address and port of the administration API. Required for the role. It
	// should not be reachable by callers.
	AdminAddress string `toml:"admin_address"`
	// KeepMS is how long callers may keep an address answer. Default 30,000. A longer time saves
	// calls and lengthens each shutdown, which waits for it.
	KeepMS int64 `toml:"keep_ms"`
	// MaxRequests bounds the requests in progress. Default 4,096. Further requests end "overload".
	// Each costs up to its prompt (4 MB at most) in memory.
	MaxRequests int `toml:"max_requests"`
	// MaxPromptBytesHeld bounds the memory of all prompts in progress, in bytes. Default 1 GiB.
	// A lower bound refuses long prompts earlier under load.
	MaxPromptBytesHeld int64 `toml:"max_prompt_bytes_held"`
	// ShutdownMS bounds the wait for running requests after KeepMS has passed. Default 3,600,000,
	// the longest deadline. A shorter time cuts off longer requests.
	ShutdownMS int64 `toml:"shutdown_ms"`
	// AcceptQueueMS bounds how long a request waits for a dispatcher to accept it before the gateway
	// submits it elsewhere. Default 2,000. A short time resubmits during short pauses of a dispatcher.
	AcceptQueueMS int64 `toml:"accept_queue_ms"`
}

// Dispatcher holds the settings of the dispatcher role.
type Dispatcher struct {
	// LinkAddress is the IP address and TCP port for gateways. Required for the role.
	LinkAddress string `toml:"link_address"`
	// ControlAddress is the IP address and TCP port for calls of other processes. Required for the role.
	ControlAddress string `toml:"control_address"`
	// GossipAddress is the IP address and UDP port for membership. Required for the role.
	GossipAddress string `toml:"gossip_address"`
	// AdminAddress is the IP address and port of the administration API. Required for the role.
	AdminAddress string `toml:"admin_address"`
	// ReportMS is the time between two reads of an engine's report. Default 1,000. A longer time saves
	// engine calls and delays the discovery of leaving engines and lost sessions; at the largest owner of
	// the full size, 500 takes 2.2 to 2.7 % of a core out of 3.8 % for all control.
	ReportMS int64 `toml:"report_ms"`
	// EventRing bounds the scheduler's queue of events. Default 8,192. A full ring refuses new
	// requests with "overload"; a larger one lets them wait longer instead.
	EventRing int `toml:"event_ring"`
	// MaxPromptBytesHeld bounds the memory of all prompts held, in bytes. Default 1 GiB.
	MaxPromptBytesHeld int64 `toml:"max_prompt_bytes_held"`
	// ShutdownMS bounds the wait for running attempts at shutdown. Default 3,600,000. A shorter time
	// makes gateways resume longer streams on another dispatcher.
	ShutdownMS int64 `toml:"shutdown_ms"`
}

// Entry holds the settings of the entry role, which serves callers and places their requests in one
// process. All entry hosts use the same ports.
type Entry struct {
	// HTTPAddress is the IP address and port for callers. Required for the role.
	HTTPAddress string `toml:"http_address"`
	// ReadyAddress is the IP address and port of the readiness check. Required for the role.
	ReadyAddress string `toml:"ready_address"`
	// DirectoryAddress is the IP address and port at which callers ask for addresses. Required for the
	// role.
	DirectoryAddress string `toml:"directory_address"`
	// ControlAddress is the IP address and TCP port for calls of other entry hosts. Required for the role.
	ControlAddress string `toml:"control_address"`
	// GossipPort is the UDP port for membership and load. Required for the role.
	GossipPort int `toml:"gossip_port"`
	// AdminPort is the TCP port of the metrics. Zero serves none.
	AdminPort int `toml:"admin_port"`
	// StoreAddress is the IP address and port of the platform's store. Required for the role.
	StoreAddress string `toml:"store_address"`
	// Peers lists control addresses of entry hosts to join through. A host without peers serves alone.
	Peers []string `toml:"peers"`
	// AddressTTLMS is how long callers may keep an address answer. Default 1,000. Callers may use it three
	// times as long, so a longer time lengthens each shutdown.
	AddressTTLMS int64 `toml:"address_ttl_ms"`
	// ShutdownMS is the time from SIGTERM to SIGKILL. Default 8,000. Requests that still run shortly
	// before its end are broken off by the process itself.
	ShutdownMS int64 `toml:"shutdown_ms"`
	// RetryRatio, RetryWindowMS and RetrySlack bound the repeats of all entry hosts together: in every
	// window, a service gets at most ratio × requests + slack arrivals beyond the first of each request.
	// Defaults 0.2, 10,000 and 100.
	RetryRatio    float64 `toml:"retry_ratio"`
	RetryWindowMS int64   `toml:"retry_window_ms"`
	RetrySlack    float64 `toml:"retry_slack"`
	// MaxHoldMS bounds the lease of a memory reservation on an engine. Default 20,000.
	MaxHoldMS int64 `toml:"max_hold_ms"`
	// ReleaseMS is the time within which reserved memory must be free again after its last use, also when
	// this host is lost. Default 4,000. Leases are shorter than that; a short time costs more renewals.
	ReleaseMS int64 `toml:"release_ms"`
	// MemoryMB is the memory limit of the process; the garbage collector works harder near it. Zero sets
	// none.
	MemoryMB int64 `toml:"memory_mb"`
}

// Platform holds the URLs of what the platform provides. Hosts in URLs are IP numbers.
type Platform struct {
	// ConfigURL is the configuration service, such as "http://10.0.0.5:7000". Required.
	ConfigURL string `toml:"config_url"`
	// HostsURL is the host list. Required.
	HostsURL string `toml:"hosts_url"`
	// HostsMS is the time between two reads of the host list. Default 2,000. A longer time saves reads
	// and delays the discovery of new hosts; leaving hosts are also learned from gossip and reports.
	HostsMS int64 `toml:"hosts_ms"`
	// ReadsPerS bounds this process's reads from the platform. Default 1.9. The platform allows about
	// 2,000 reads/s across all readers; 340 hosts with two processes each may send one read at once
	// and 1.9 in the first second after that, 1,972 together. A higher rate makes a mass restart
	// exceed the limit.
	ReadsPerS float64 `toml:"reads_per_s"`
	// StartSpreadMS is the upper end of the random delay before the first read at a start. Default
	// 2,000. It spreads the reads of a mass restart and delays each start by half of it on average.
	StartSpreadMS int64 `toml:"start_spread_ms"`
	// Peers lists control addresses that a starting process asks for the configuration and the host
	// list. Optional. Without it a start needs the platform.
	Peers []string `toml:"peers"`
	// GossipSeeds lists gossip addresses to join before the host list is known. Optional.
	GossipSeeds []string `toml:"gossip_seeds"`
}

// Admin holds the settings of the administration API.
type Admin struct {
	// Token is the bearer token of the administration API, at least 16 characters. Required.
	// /healthz and /readyz need no token. A changed token takes a restart.
	Token string `toml:"token"`
}

// Log holds the settings of the log.
type Log struct {
	// Level is "debug", "info", "warn" or "error". Default "info". "debug" writes a line for each
	// request step.
	Level string `toml:"level"`
}

// Trace holds the settings of traces.
type Trace struct {
	// Exporter is "none", "stdout" or "otlp" (OTLP over HTTP). Default "none".
	Exporter string `toml:"exporter"`
	// OTLPURL is the collector for exporter "otlp", such as "http://127.0.0.1:4318". Its host is an
	// IP number.
	OTLPURL string `toml:"otlp_url"`
	// SampleRatio is the share of new traces that are recorded, from 0 to 1. Default 0.01. A caller's
	// sampled traceparent is always followed. A higher share costs memory and export traffic.
	SampleRatio float64 `toml:"sample_ratio"`
}

// Role names the table that a process needs.
type Role string

// Roles of a process.
const (
	RoleGateway    Role = "gateway"
	RoleDispatcher Role = "dispatcher"
	RoleEntry      Role = "entry"
)

// Default returns the settings that hold where a file names no value.
func Default() Settings {
	return Settings{
		Gateway: Gateway{
			KeepMS:             30_000,
			MaxRequests:        4_096,
			MaxPromptBytesHeld: 1 << 30,
			ShutdownMS:         3_600_000,
			AcceptQueueMS:      2_000,
		},
		Dispatcher: Dispatcher{
			ReportMS:           1_000,
			EventRing:          8_192,
			MaxPromptBytesHeld: 1 << 30,
			ShutdownMS:         3_600_000,
		},
		Entry: Entry{
			AddressTTLMS:  1_000,
			ShutdownMS:    8_000,
			RetryRatio:    0.2,
			RetryWindowMS: 10_000,
			RetrySlack:    100,
			MaxHoldMS:     20_000,
			ReleaseMS:     4_000,
		},
		Platform: Platform{HostsMS: 2_000, ReadsPerS: 1.9, StartSpreadMS: 2_000},
		Log:      Log{Level: "info"},
		Trace:    Trace{Exporter: "none", SampleRatio: 0.01},
	}
}

// MS turns a setting in milliseconds into a duration.
func MS(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
