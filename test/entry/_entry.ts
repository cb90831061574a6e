/** Starts an entry in front of test targets, with a scheduler whose grants the test determines. */
import {createHash} from 'node:crypto';
import {type ExecutionContext} from 'ava';
import {Agent, request, type Dispatcher} from 'undici';
import {type Grant, type GrantResult, type Scheduler} from '../../src/core/dispatch/types.js';
import {fleetConfigSchema, type FleetConfig} from '../../src/core/config/fleet-config.js';
import {noClaims} from '../../src/runtime/claims/no-claims.js';
import {startEntry} from '../../src/runtime/entry/start-entry.js';
import {type Entry, type EntryOptions} from '../../src/runtime/entry/types.js';
import {monotonicClock} from '../../src/runtime/monotonic-clock.js';
import {silentLog} from '../../src/runtime/observe/log.js';
import {createMetrics, type Metrics} from '../../src/runtime/observe/metrics.js';

export const TOKEN = 'token-of-couriers';
export const AGENTS_TOKEN = 'token-of-agents';
const hashOf = (token: string) => createHash('sha256').update(token).digest('hex');

export const config: FleetConfig = fleetConfigSchema.parse({
	version: 1,
	teams: {
		couriers: {tokenHashes: [hashOf(TOKEN)], maxQueued: 3},
		agents: {tokenHashes: [hashOf(AGENTS_TOKEN)]},
	},
	services: {
		tariff: {kind: 'model', maxRunMs: 30_000},
		ledger: {kind: 'plain', repeat: 'never', maxRunMs: 2000},
		lookup: {kind: 'plain', repeat: 'safe', maxRunMs: 2000},
	},
});

export type EndedGrant = {readonly target: string} & GrantResult;

/** Creates a scheduler that grants each request at once, and records the requests and the ends of grants. */
export const grantingScheduler = (address: () => string, patch: (grant: Grant) => Partial<Grant> = () => ({})): Scheduler & {readonly ends: readonly EndedGrant[]; readonly requests: () => number} => {
	const ends: EndedGrant[] = [];
	let requests = 0;
	return {
		ends,
		requests: () => requests,
		submit({requestId}) {
			requests += 1;
			const grant = {
				grantId: `${requestId}-${requests}`, target: 'target-1', address: address(), epoch: 7n, instance: '', expiresAtMs: monotonicClock.nowMs() + 30_000,
			};
			return {granted: Promise.resolve({...grant, ...patch(grant)}), withdraw: () => undefined};
		},
		isValid: ({expiresAtMs}) => monotonicClock.nowMs() < expiresAtMs,
		end(grant, result) {
			ends.push({target: grant.target, ...result});
		},
	};
};

type CallOptions = {
	readonly body?: unknown;
	readonly headers?: Readonly<Record<string, string>>;
	readonly method?: 'GET' | 'POST';
	readonly signal?: AbortSignal;
};

export type TestEntry = {
	readonly entry: Entry;
	readonly metrics: Metrics;
	readonly call: (path: string, options?: CallOptions) => Promise<Dispatcher.ResponseData>;
	/** Returns the sum of a counter over all label sets that contain the given labels. */
	readonly count: (name: keyof Metrics & ('refusals' | 'retries' | 'droppedAnswers' | 'streamResumes' | 'cancels'), labels: Readonly<Record<string, string>>) => Promise<number>;
};

/** Limits of a test's entry. The read timeout is the product's default, so that a pause of the process by some hundred milliseconds fails no test but those about slow requests. */
export const testLimits = {
	bodyBytes: 10_000, headerBytes: 4000, readTimeoutMs: 10_000, connectionsPerTeam: 50,
};

/** Starts an entry that is closed at the end of the test. */
export const startTestEntry = async (t: ExecutionContext, options: Partial<EntryOptions> & Pick<EntryOptions, 'scheduler'>): Promise<TestEntry> => {
	const metrics = createMetrics();
	const entry = await startEntry({
		listen: {host: '127.0.0.1', port: 0},
		config: () => config,
		clock: monotonicClock,
		random: () => 0.5,
		log: silentLog,
		claims: noClaims,
		limits: testLimits,
		metrics,
		...options,
	});
	const dispatcher = new Agent();
	t.teardown(async () => {
		await dispatcher.destroy();
		await entry.close();
	});
	return {
		entry,
		metrics,
		call: async (path, {body, headers = {}, method = 'POST', signal} = {}) => request(`http://${entry.address}${path}`, {
			dispatcher,
			method,
			headers: {authorization: `Bearer ${TOKEN}`, ...headers},
			...(body !== undefined && {body: typeof body === 'string' ? body : JSON.stringify(body)}),
			...(signal && {signal}),
		}),
		async count(name, labels) {
			const {values} = await metrics[name].get();
			const matching = values.filter(value => Object.entries(labels).every(([label, wanted]) => (value.labels as Readonly<Record<string, unknown>>)[label] === wanted));
			return matching.reduce((sum, {value}) => sum + value, 0);
		},
	};
};

/** Milliseconds after which `until` fails the test. */
const UNTIL_MS = 30_000;

/** Resolves when a condition holds; checks it in each turn of the event loop. */
export const until = async (condition: () => boolean | Promise<boolean>, endMs = monotonicClock.nowMs() + UNTIL_MS): Promise<void> => {
	if (await condition()) {
		return;
	}

	if (monotonicClock.nowMs() > endMs) {
		throw new Error('the condition did not hold before its deadline');
	}

	await new Promise(resolve => {
		setImmediate(resolve);
	});
	await until(condition, endMs);
};
