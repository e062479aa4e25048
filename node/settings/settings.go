// Package settings reads and checks the TOML settings of a process. They are the only source of its
// addresses and its availability zone. Load reports all mistakes in a file at once.
package settings

import (
	"time"
)

// Settings holds the content of a settings file. Both roles of an entry host may share a file; each role
// reads its own table. All times are in milliseconds unless the key's suffix says otherwise.
type Settings struct {
	// HostID is the ID of the entry host in the platform's host list. Required. Tickets contain it, so
	// after a change of the ID, every ticket with the old ID ends with "may have run".
	HostID string `toml:"host_id"`
	// Region is the name of the region, such as "be-central". Required. Dispatchers own engine groups of
	// their region only; a wrong value leaves groups without an owner.
	Region string `toml:"region"`
	// AvailabilityZone is the name of the availability zone within the region. Required. Requests prefer
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
	// HTTPAddress is the IP address and port for callers. Required for the role. Callers must be able to
	// reach this address, because GET /v1/addresses returns it.
	HTTPAddress string `toml:"http_address"`
	// ControlAddress is the IP address and TCP port for calls from other processes. Required for the
	// role. Other gateways forward tickets to it.
	ControlAddress string `toml:"control_address"`
	// GossipAddress is the IP address and UDP port for membership. Required for the role.
	GossipAddress string `toml:"gossip_address"`
	// AdminAddress is the IP address and port of the administration API. Required for the role. It
	// should not be reachable by callers.
	AdminAddress string `toml:"admin_address"`
	// KeepMS is how long callers may cache an address response. Default 30,000. A longer time saves calls
	// but makes each shutdown longer, because a shutdown waits for this time.
	KeepMS int64 `toml:"keep_ms"`
	// MaxRequests bounds the requests in progress. Default 4,096. Further requests are refused with
	// "overload". Each request uses up to the size of its prompt (at most 4 MB) in memory.
	MaxRequests int `toml:"max_requests"`
	// MaxPromptBytesHeld bounds the memory of all prompts in progress, in bytes. Default 1 GiB.
	// A lower bound refuses long prompts earlier under load.
	MaxPromptBytesHeld int64 `toml:"max_prompt_bytes_held"`
	// ShutdownMS bounds the wait for running requests after KeepMS has passed. Default 3,600,000,
	// the longest deadline. A shorter time interrupts longer requests.
	ShutdownMS int64 `toml:"shutdown_ms"`
	// AcceptQueueMS bounds how long a request waits for a dispatcher to accept it before the gateway
	// submits it elsewhere. Default 2,000. With a short time, requests are resubmitted even during short
	// pauses of a dispatcher.
	AcceptQueueMS int64 `toml:"accept_queue_ms"`
	// MaxDescriptors and MemoryMB are those of the entry role, for this process.
	MaxDescriptors int64 `toml:"max_descriptors"`
	MemoryMB       int64 `toml:"memory_mb"`
}

// Dispatcher holds the settings of the dispatcher role.
type Dispatcher struct {
	// LinkAddress is the IP address and TCP port for gateways. Required for the role.
	LinkAddress string `toml:"link_address"`
	// ControlAddress is the IP address and TCP port for calls from other processes. Required for the role.
	ControlAddress string `toml:"control_address"`
	// GossipAddress is the IP address and UDP port for membership. Required for the role.
	GossipAddress string `toml:"gossip_address"`
	// AdminAddress is the IP address and port of the administration API. Required for the role.
	AdminAddress string `toml:"admin_address"`
	// ReportMS is the time between two reads of an engine's report. Default 1,000. A longer time saves
	// engine calls but delays the detection of leaving engines and lost sessions. On the dispatcher that owns
	// the most engines at full size, 500 takes 2.2 to 2.7 % of a core, out of 3.8 % for all control work.
	ReportMS int64 `toml:"report_ms"`
	// EventRing bounds the attempts that wait for the scheduler. Default 8,192. Further attempts are
	// refused with "overload"; with a larger ring they wait longer instead.
	EventRing int `toml:"event_ring"`
	// MaxPromptBytesHeld bounds the memory of the prompts of all attempts that have not ended, in bytes.
	// Default 1 GiB.
	MaxPromptBytesHeld int64 `toml:"max_prompt_bytes_held"`
	// ShutdownMS bounds the wait for running attempts at shutdown. Default 3,600,000. With a shorter
	// time, gateways resume longer streams on another dispatcher.
	ShutdownMS int64 `toml:"shutdown_ms"`
}

// Entry holds the settings of the entry role, which serves callers and schedules their requests in one
// process. All entry hosts use the same ports.
type Entry struct {
	// HTTPAddress is the IP address and port for callers. Required for the role.
	HTTPAddress string `toml:"http_address"`
	// ReadyAddress is the IP address and port of the readiness check. Required for the role.
	ReadyAddress string `toml:"ready_address"`
	// DirectoryAddress is the IP address and port at which callers ask for addresses. Required for the
	// role.
	DirectoryAddress string `toml:"directory_address"`
	// ControlAddress is the IP address and TCP port for calls from other entry hosts. Required for the role.
	ControlAddress string `toml:"control_address"`
	// GossipPort is the UDP port for membership and load, and the TCP port for requests that hosts hand on to each other. Required
	// for the role.
	GossipPort int `toml:"gossip_port"`
	// AdminPort is the TCP port of the metrics endpoint. Zero disables it.
	AdminPort int `toml:"admin_port"`
	// StoreAddress is the IP address and port of the platform's store. Required for the role.
	StoreAddress string `toml:"store_address"`
	// Peers lists control addresses of entry hosts to join through. A host without peers runs on its own.
	Peers []string `toml:"peers"`
	// AddressTTLMS is how long callers may cache an address response. Default 1,000. Callers may use a
	// response for three times as long, so a longer time makes each shutdown longer.
	AddressTTLMS int64 `toml:"address_ttl_ms"`
	// ShutdownMS is the time from SIGTERM to SIGKILL. Default 8,000. The process itself aborts the
	// requests that are still running shortly before the end of this time.
	ShutdownMS int64 `toml:"shutdown_ms"`
	// RetryRatio, RetryWindowMS and RetrySlack bound the retries of all entry hosts together: in every
	// window, a service receives at most ratio × requests + slack attempts beyond the first of each request.
	// Defaults 0.2, 10,000 and 100.
	RetryRatio    float64 `toml:"retry_ratio"`
	RetryWindowMS int64   `toml:"retry_window_ms"`
	RetrySlack    float64 `toml:"retry_slack"`
	// MaxHoldMS bounds the lease of a memory reservation on an engine. Default 20,000.
	MaxHoldMS int64 `toml:"max_hold_ms"`
	// ReleaseMS is the time within which reserved memory must be released after its last use, even if this
	// host fails. Default 4,000. Leases are shorter than this time; a shorter time costs more renewals.
	ReleaseMS int64 `toml:"release_ms"`
	// EvacuateMS is the time within which no host sends requests to an evacuated zone any more. A host that was paused for a large
	// part of it reads the store before it sends again. Zero, the default, sets no time, and no host waits.
	EvacuateMS int64 `toml:"evacuate_ms"`
	// MemoryMB is the memory limit of the process. The garbage collector runs more often near the limit. Zero
	// sets no limit. A quarter of it is for the connections of callers (24 KiB each), an eighth for the heads of requests that
	// arrive, and an eighth for bodies.
	MemoryMB int64 `toml:"memory_mb"`
	// MaxDescriptors is the limit of open files and connections of the process, from 300. Half of it, less 100, may be
	// connections of callers, since each of their requests needs a connection to a server. Zero, the default, stands for the
	// limit that the process is started with, which holds in any case. A lower limit closes idle connections earlier.
	MaxDescriptors int64 `toml:"max_descriptors"`
}

// Platform holds the URLs of the platform's services and the limits for reading them. Hosts in URLs are IP
// addresses.
type Platform struct {
	// ConfigURL is the configuration service, such as "http://10.0.0.5:7000". Required.
	ConfigURL string `toml:"config_url"`
	// HostsURL is the host list. Required.
	HostsURL string `toml:"hosts_url"`
	// HostsMS is the time between two reads of the host list. Default 2,000. A longer time saves reads but
	// delays the discovery of new hosts. Leaving hosts are also learned from gossip and reports.
	HostsMS int64 `toml:"hosts_ms"`
	// ReadsPerS bounds this process's reads from the platform. Default 1.9. The platform allows about
	// 2,000 reads/s across all readers; 340 hosts with two processes each may send one read immediately
	// and 1.9 in the first second after that, 1,972 in total. A higher rate makes a mass restart
	// exceed the limit.
	ReadsPerS float64 `toml:"reads_per_s"`
	// StartSpreadMS is the upper bound of the random delay before the first read at a start. Default
	// 2,000. It spreads the reads of a mass restart and delays each start by half of it on average.
	StartSpreadMS int64 `toml:"start_spread_ms"`
	// Peers lists control addresses that a starting process asks for the configuration and the host
	// list. Optional. Without peers, a start depends on the platform.
	Peers []string `toml:"peers"`
	// GossipSeeds lists gossip addresses to join before the host list is known. Optional.
	GossipSeeds []string `toml:"gossip_seeds"`
}

// Admin holds the settings of the administration API.
type Admin struct {
	// Token is the bearer token of the administration API, at least 16 characters. Required.
	// /healthz and /readyz need no token. Changing the token requires a restart.
	Token string `toml:"token"`
}

// Log holds the settings of the log.
type Log struct {
	// Level is "debug", "info", "warn" or "error". Default "info". "debug" writes a line for
	// each step of a request.
	Level string `toml:"level"`
}

// Trace holds the settings of tracing.
type Trace struct {
	// Exporter is "none", "stdout" or "otlp" (OTLP over HTTP). Default "none".
	Exporter string `toml:"exporter"`
	// OTLPURL is the collector for exporter "otlp", such as "http://127.0.0.1:4318". Its host is an
	// IP address.
	OTLPURL string `toml:"otlp_url"`
	// SampleRatio is the fraction of new traces that are recorded, from 0 to 1. Default 0.01. A sampled
	// traceparent of a caller is always recorded. A higher ratio costs memory and export traffic.
	SampleRatio float64 `toml:"sample_ratio"`
}

// Role is the role of a process and the name of its table in the settings.
type Role string

// Roles of a process.
const (
	RoleGateway    Role = "gateway"
	RoleDispatcher Role = "dispatcher"
	RoleEntry      Role = "entry"
)

// Default returns the default values of all settings.
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

// MS converts a setting in milliseconds to a duration.
func MS(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
