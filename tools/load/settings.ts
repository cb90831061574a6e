import * as z from 'zod';

const address = z.string().regex(/^[\d.]+:\d+$/v, 'an address: IP:PORT');

const mixSchema = z.strictObject({
	service: z.string().min(1),
	/** `debit` is not idempotent and gets an idempotency key; `read` is a plain GET. */
	kind: z.enum(['completion', 'chat', 'debit', 'read']),
	weight: z.number().positive().default(1),
	/** Share of the model requests that ask for a streamed response, 0 to 1. */
	streamed: z.number().min(0).max(1).default(0.5),
	/** Distribution of the request cost in cost units; `log_uniform` is heavy-tailed. */
	cost: z.strictObject({
		distribution: z.enum(['uniform', 'log_uniform']).default('uniform'),
		min: z.number().positive().default(8),
		max: z.number().positive().default(24),
	}).prefault({}),
});

const teamSchema = z.strictObject({
	name: z.string().min(1),
	token: z.string().min(1),
	weight: z.number().positive().default(1),
	/** Addresses of the routers that the team sends to; all routers if absent. */
	routers: z.array(address).min(1).optional(),
	/** Mean number of new requests per second in an open loop; 0 for a closed loop. */
	ratePerS: z.number().nonnegative().default(0),
	/** Concurrent requests: kept constant in a closed loop, an upper bound in an open one. */
	concurrency: z.number().int().positive().default(64),
	mix: z.array(mixSchema).min(1),
	/** Largest factor by which a cost hint is too high or too low; 0 sends no hints. */
	hintError: z.number().nonnegative().default(2),
	deadlineMs: z.number().positive().default(30_000),
	/** Number of words in a prompt; all but the last two form its shared prefix. */
	promptTokens: z.number().int().min(4).default(32),
	/** Number of different prompt prefixes that the team uses. */
	prefixes: z.number().int().positive().default(4),
	/** Most retries of a request that was refused as not run with a retry delay, or whose connection broke. */
	maxRetries: z.number().int().nonnegative().default(0),
	/** Number of requests after which the team sends no more; unlimited if absent. */
	maxRequests: z.number().int().positive().optional(),
	/** The team sends requests from `startMs` to `stopMs` after the start of the run. */
	startMs: z.number().nonnegative().default(0),
	stopMs: z.number().positive().optional(),
});

/** Settings of the load generator. */
export const loadSettingsSchema = z.strictObject({
	seed: z.number().int().default(1),
	durationMs: z.number().positive(),
	/** Time after a request's deadline at which its response counts as lost. */
	graceMs: z.number().nonnegative().default(10_000),
	routers: z.array(address).min(1),
	/** Addresses of the targets whose records are compared with the results at the end. */
	targets: z.array(address).default([]),
	/** Path of the report file; the report goes to standard output if absent. */
	report: z.string().optional(),
	/** Whether the report lists every request. */
	keepRequests: z.boolean().default(false),
	teams: z.array(teamSchema).min(1),
});

export type LoadSettings = Readonly<z.output<typeof loadSettingsSchema>>;
export type LoadTeam = Readonly<z.output<typeof teamSchema>>;
export type LoadMix = Readonly<z.output<typeof mixSchema>>;
