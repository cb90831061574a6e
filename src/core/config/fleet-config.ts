/**
 * The schema of the fleet configuration: everything that operators decide, as one versioned
 * document in the platform's table service. Unknown fields are kept, so that a VM of an older
 * release passes on what a newer release wrote.
 */
import * as z from 'zod';

const name = z.string().regex(/^[a-z\d][a-z\d.\-]{0,62}$/v, 'a name: lower-case letters, digits, dots and hyphens');

/** A SHA-256 hash of a bearer token, in hex. */
const tokenHash = z.string().regex(/^[\da-f]{64}$/v, 'a SHA-256 hash in hex');

const team = z.looseObject({
	/** Weight of the team's share of the capacity, relative to the weights of the other teams. */
	weight: z.number().positive().max(1e6).default(1),
	tokenHashes: z.array(tokenHash).default([]),
	/** Requests of the team that may wait at one entry VM. */
	maxQueued: z.number().int().positive().default(200),
});

const operator = z.looseObject({tokenHashes: z.array(tokenHash).default([])});

const service = z.looseObject({
	/** `model` uses the protocol of the model engines, `plain` is plain HTTP. */
	kind: z.enum(['model', 'plain']),
	/** `never` is for requests that may run at most once. */
	repeat: z.enum(['safe', 'never']).default('safe'),
	/** Milliseconds after which a running request is cancelled. */
	maxRunMs: z.number().int().positive().default(60_000),
	/** Milliseconds that a request may wait when the caller sends no deadline. */
	maxWaitMs: z.number().int().positive().default(30_000),
	/** Cost units assumed for a request before any has ended. */
	initialCost: z.number().positive().default(1),
	/** The largest cost of a single request, in cost units. */
	maxCost: z.number().positive().default(1000),
});

const dataCentre = z.looseObject({
	/** `out` takes the data centre out of service: no new work starts there. */
	state: z.enum(['in', 'out']).default('in'),
});

const contract = z.looseObject({
	/** Concurrent requests that the target can run during its cold start. */
	coldLimit: z.number().int().positive().default(1),
	/** Concurrent requests that the target can run when it is warm. */
	warmLimit: z.number().int().positive().default(8),
	/** Consecutive responses in time after which the target's limit may grow by one. */
	growAfterAnswers: z.number().int().positive().default(2),
	/** Whether the target refuses requests with an outdated fencing epoch. */
	checksFencing: z.boolean().default(false),
});

const target = z.looseObject({
	service: name,
	dataCentre: name,
	/** IP address and port, as `IP:PORT`. */
	address: z.string().regex(/^[\d.]+:\d+$|^\[[\da-f:]+\]:\d+$/v, 'an address: IP:PORT'),
	state: z.enum(['in', 'draining']).default('in'),
	contract: contract.prefault({}),
});

const sharing = z.looseObject({
	/** Milliseconds between reports to a dispatcher while requests wait. */
	tickMs: z.number().int().min(5).max(1000).default(40),
	/** Milliseconds between reports to a dispatcher while no request waits. */
	idleTickMs: z.number().int().min(20).max(5000).default(250),
	/** Milliseconds from a report for which the slots granted in reply to it may be used. */
	slotLeaseMs: z.number().int().min(200).max(60_000).default(2000),
});

/** Schema of the configuration document. */
export const fleetConfigSchema = z.looseObject({
	version: z.number().int().nonnegative(),
	teams: z.record(name, team).default({}),
	operators: z.record(name, operator).default({}),
	services: z.record(name, service).default({}),
	dataCentres: z.record(name, dataCentre).default({}),
	targets: z.record(name, target).default({}),
	sharing: sharing.prefault({}),
});

type DeepReadonly<T> = T extends ReadonlyArray<infer Item>
	? ReadonlyArray<DeepReadonly<Item>>
	: T extends Record<string, unknown> ? {readonly [Key in keyof T]: DeepReadonly<T[Key]>} : T;

/** A validated configuration document. */
export type FleetConfig = DeepReadonly<z.output<typeof fleetConfigSchema>>;
export type ServiceConfig = FleetConfig['services'][string];
export type TargetConfig = FleetConfig['targets'][string];
export type Contract = TargetConfig['contract'];
export type SharingConfig = FleetConfig['sharing'];
