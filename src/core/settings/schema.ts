/**
 * Schema of the settings file of `jackdawwood-router`. Types, defaults, checks, the texts of
 * faults and the reference page are all generated from it.
 *
 * These settings apply to one VM; those of the whole fleet are in the fleet configuration.
 */
import * as z from 'zod';
import {camelKeys} from './camel-keys.js';

const ADDRESS = /^(?:(?:\d{1,3}\.){3}\d{1,3}|\[[\da-f:]+\]):\d{1,5}$/v;
const NAME = /^[a-z\d][a-z\d.\-]{0,62}$/v;
const MAX_PORT = 65_535;
const MAX_TIME_MS = 600_000;

const hasPort = (address: string): boolean => Number(address.slice(address.lastIndexOf(':') + 1)) <= MAX_PORT;

const name = (description: string) =>
	z.string().regex(NAME).meta({description, allowed: 'a name of lower-case letters, digits, dots and hyphens, at most 63 long', example: 'fra-1'});

const address = (description: string) =>
	z.string().regex(ADDRESS).refine(hasPort).meta({description, allowed: 'IP:PORT, by IP number, port at most 65535', example: '10.0.0.1:8080'});

const integer = (description: string, min: number, max: number) =>
	z.int().min(min).max(max).meta({description});

const path = (description: string) =>
	z.string().min(1).meta({description, allowed: 'a path', example: '/etc/jackdawwood/ca.pem'}).optional();

const fraction = (description: string, max: number) =>
	z.number().min(0).max(max).meta({description, allowed: `a number from 0 to ${max}`});

const duration = (description: string, min: number) =>
	z.number().min(min).max(MAX_TIME_MS).meta({description, allowed: `a number of milliseconds from ${min} to ${MAX_TIME_MS}`});

const flag = (description: string) => z.boolean().meta({description});

const vm = z.strictObject({
	id: name('Identifier of this VM, the same as in the platform\'s VM list.'),
	data_centre: name('Data centre that this VM stands in.'),
}).meta({description: 'This VM.'});

const listen = z.strictObject({
	callers: address('Address on which callers\' requests are accepted.').default('0.0.0.0:8080'),
	control: address('Address on which the other VMs connect.').default('0.0.0.0:8081'),
	admin: address('Address of the operators\' interface, health and metrics.').default('127.0.0.1:8082'),
	metrics: address('Address that serves metrics alone, where the operators\' interface is not reachable.').optional(),
}).meta({description: 'Addresses on which this VM listens. Port 0 lets the system choose.'});

const platform = z.strictObject({
	address: address('Address of the platform\'s services.'),
	timeout_ms: integer('Time after which one call to the platform is given up.', 10, MAX_TIME_MS).default(2000),
}).meta({description: 'The platform\'s table service, object store and VM list.'});

const seed = z.strictObject({
	vm: name('Identifier of the other VM.'),
	data_centre: name('Data centre that it stands in.'),
	control: address('Its control address.'),
});

const peers = z.strictObject({
	seeds: z.array(seed).meta({description: 'VMs to connect to before the platform\'s VM list has been read.', allowed: 'a list of {vm, data_centre, control}'}).default([]),
}).meta({description: 'The other VMs of the fleet.'});

const tls = (whose: string) => z.strictObject({
	enabled: flag(`Whether ${whose} connections use TLS.`).default(false),
	ca: path('File of the certificate authority, PEM.'),
	cert: path('File of this VM\'s certificate, PEM.'),
	key: path('File of this VM\'s private key, PEM.'),
}).meta({description: `TLS of ${whose} connections.`});

const log = z.strictObject({
	level: z.enum(['debug', 'info', 'warn', 'error', 'silent']).meta({description: 'Least severe level that is logged.'}).default('info'),
}).meta({description: 'Logs: one JSON object a line, to standard output.'});

const limits = z.strictObject({
	body_bytes: integer('Largest body of a caller\'s request.', 1024, 1_073_741_824).default(4_194_304),
	header_bytes: integer('Largest total of a request\'s headers.', 1024, 1_048_576).default(16_384),
	read_timeout_ms: integer('Time within which a request\'s headers and body have to arrive.', 10, MAX_TIME_MS).default(10_000),
	behind_ms: integer('Delay of the event loop above which a VM refuses requests and asks for no new callers: it takes one new connection a turn.', 5, MAX_TIME_MS).default(20),
	connections_per_team: integer('Requests of one team that may be open at this VM.', 1, 100_000).default(500),
	processor_share: fraction('Part of a processor that this VM may use; unknown if absent.', 1).optional(),
	processors: integer('How many times as fast that processor is as an ordinary one.', 1, 1024).default(1),
	memory_mb: integer('Memory of this VM in MB, beyond which the process is killed; unknown if absent.', 32, 1_048_576).optional(),
}).meta({description: 'Limits on callers\' requests. Each has its own refusal.'});

const control = z.strictObject({
	tick_ms: integer('Time between reports to a dispatcher while work waits; the fleet configuration\'s value if absent.', 5, 1000).optional(),
	idle_tick_ms: integer('Time between reports while no work waits; the fleet configuration\'s value if absent.', 20, 5000).optional(),
	slot_lease_ms: integer('Time for which slots are granted; the fleet configuration\'s value if absent.', 200, 60_000).optional(),
	heartbeat_ms: integer('Time between heartbeats to the other VMs.', 20, 10_000).default(300),
	heartbeat_timeout_ms: integer('Silence after which another VM counts as lost.', 50, 60_000).default(1500),
	lease_ms: integer('Time for which a dispatcher\'s lease holds.', 200, MAX_TIME_MS).default(3000),
}).meta({description: 'Timing between the VMs.'});

const policy = z.strictObject({
	name: z.enum(['fleet', 'local-drr', 'least-loaded']).meta({description: '`fleet` shares fairly over the fleet; the others are baselines that decide at each VM alone.'}).default('fleet'),
}).meta({description: 'How requests are ordered and targets chosen.'});

const admin = z.strictObject({
	bootstrap_from_loopback: flag('Whether calls from this VM itself need no token while the fleet configuration has no operator.').default(true),
}).meta({description: 'The operators\' interface.'});

const bounds = z.strictObject({
	cold_factor: fraction('Multiple of its stated rate that a cold target survives.', 100).default(1),
	cold_slack: fraction('Requests beyond that multiple which a cold target survives in one second.', 100_000).default(0),
	retry_ratio: fraction('Repeats allowed for each request to a service, over the whole fleet.', 10).default(0.1),
	retry_window_s: fraction('Length of the sliding window in which repeats are counted, in seconds.', 600).default(10),
	retry_slack: fraction('Repeats allowed in that window beyond the ratio, over the whole fleet.', 100_000).default(20),
	grace_s: fraction('Time from a stop signal to the end of the process, in seconds.', 600).default(10),
	drain_ms: duration('Time after a target has announced that it leaves within which it must get nothing more.', 100).default(2000),
	heartbeat_ms: duration('Time between heartbeats of a target.', 10).default(1000),
	exposure_share: fraction('Part of a service\'s requests that an unproved version may get during its roll-out, over the whole fleet; without it no roll-out is carried out.', 1).optional(),
	exposure_slack: fraction('Requests beyond that part which it may get.', 100_000).default(0),
	rollback_ms: duration('Time after a version\'s 50th bad answer within which it must get nothing more.', 100).default(5000),
}).meta({description: 'Bounds that the deployment promises over all VMs together.'});

/** Schema of the file, with the snake-case keys of the file. */
export const settingsFileSchema = z.strictObject({
	vm,
	listen: listen.prefault({}),
	platform,
	peers: peers.prefault({}),
	tls: z.strictObject({
		control: tls('control').extend({
			revoked: path('File with the serial numbers of revoked certificates in hex, one a line.'),
		}).meta({description: 'TLS of control connections; both sides show a certificate.'}).prefault({}),
		callers: tls('callers\'').prefault({}),
	}).meta({description: 'Transport security.'}).prefault({}),
	log: log.prefault({}),
	limits: limits.prefault({}),
	control: control.prefault({}),
	policy: policy.prefault({}),
	admin: admin.prefault({}),
	bounds: bounds.prefault({}),
});

const settingsSchema = settingsFileSchema.transform(value => camelKeys(value));

/** Checks a parsed settings file, fills in defaults and converts its keys to camel case. */
export const checkSettings = (document: unknown) => settingsSchema.safeParse(document);

/** The settings of one VM, checked, with defaults filled in. */
export type Settings = z.output<typeof settingsSchema>;
