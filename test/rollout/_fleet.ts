/** Starts a fleet of routers with the platform's protocols, a store and targets of two versions, all in one process. */
import {setTimeout as delay} from 'node:timers/promises';
import {type ExecutionContext} from 'ava';
import {Agent, request} from 'undici';
import * as z from 'zod';
import {startPlatformRouter, type PlatformRouter} from '../../platform/start-platform-router.js';
import {parseSettings} from '../../src/core/settings/parse-settings.js';
import {type Log, type LogFields} from '../../src/runtime/observe/log.js';
import {createVmBase} from '../../src/runtime/router/vm-base.js';
import {startWorksStore, type WorksStore} from '../../standins/works/works-store.js';
import {startWorksTarget, type WorksTarget} from '../../standins/works/works-target.js';
import {freeAddresses} from '../../tools/fleet/free-ports.js';
import {
	configOf, HOST, KEY, settingsText, until,
} from '../platform/_platform.js';

/** Milliseconds between requests of the whole fleet. */
const REQUEST_EVERY_MS = 8;
export const ORDER_S = 12;
const BOUNDS = `exposure_share = 0.1
exposure_slack = 50
rollback_ms = 5000
`;

const statusSchema = z.object({state: z.string(), to: z.string()});

export type Line = {readonly vm: string; readonly event: string; readonly fields: LogFields};

export type Fleet = {
	readonly store: WorksStore;
	readonly old: readonly WorksTarget[];
	readonly next: readonly WorksTarget[];
	readonly routers: readonly PlatformRouter[];
	readonly lines: readonly Line[];
	readonly announce: (target: WorksTarget, version: string, changes?: Readonly<Record<string, unknown>>) => void;
	readonly order: (to: string, seconds?: number) => void;
	/** Returns the status row that the platform reads. */
	readonly status: () => {readonly state: string; readonly to: string} | undefined;
	/** Returns the number of responses to the callers by HTTP status; 0 stands for no response. */
	readonly statuses: () => ReadonlyMap<number, number>;
	/** Lets callers send requests until the fleet stops. */
	readonly startCallers: () => void;
	/** Stops one router; the callers no longer use it. */
	readonly stopRouter: (index: number) => Promise<void>;
};

export type FleetOptions = {
	readonly vms?: number;
	/** Whether the settings contain the bounds of roll-outs. */
	readonly hasBounds?: boolean;
	/** Prepares the store before the routers start. */
	readonly beforeStart?: (store: WorksStore) => void;
};

const recording = (vm: string, lines: Line[]): Log => {
	const at = (event: string, fields: LogFields = {}): void => {
		lines.push({vm, event, fields});
	};

	return {
		debug: at, info: at, warn: at, error: at, routine: at,
	};
};

export const startFleet = async (t: ExecutionContext, {vms = 2, hasBounds = true, beforeStart}: FleetOptions = {}): Promise<Fleet> => {
	const store = await startWorksStore();
	const old = await Promise.all(['o1', 'o2'].map(async id => startWorksTarget({id, stream: false})));
	const next = await Promise.all(['n1', 'n2'].map(async id => startWorksTarget({id, stream: false})));
	const announce: Fleet['announce'] = (target, version, changes = {}) => {
		store.put('servers', target.id, {
			service: 'ledger', address: target.address, zone: 'dc-a', version, slots: 8, state: 'ready', cold_remaining_ms: 0, sequence: 1, born: 1000, ...changes,
		});
	};

	store.put('op', 'config', configOf(7));
	for (const target of old) {
		announce(target, 'v1');
	}

	beforeStart?.(store);
	const lines: Line[] = [];
	const agent = new Agent({connections: 20});
	const starts = await Promise.all(Array.from({length: vms}, async (_, index) => {
		const addresses = await freeAddresses(4);
		const vm = `edge-${index + 1}`;
		const {settings, faults} = parseSettings(settingsText(addresses, store.address, undefined, {vm, ...(hasBounds && {bounds: BOUNDS})}), 'test.toml');
		if (!settings) {
			throw new Error(JSON.stringify(faults));
		}

		const router = await startPlatformRouter(settings, {...createVmBase(settings), log: recording(vm, lines)});
		return {router, address: addresses[0]!, ready: addresses[1]!};
	}));
	const alive = new Set(starts.keys());
	const statuses = new Map<number, number>();
	const over = new AbortController();
	let calls = 0;

	const call = async (address: string): Promise<void> => {
		calls++;
		const path = calls % 3 === 0 ? '/debit/x' : '/look/x';
		const status = await request(`http://${address}${path}`, {
			method: path.startsWith('/debit') ? 'POST' : 'GET', dispatcher: agent, headers: {
				host: HOST, 'x-attempt-id': `f${calls}`, 'x-api-key': KEY, 'x-deadline-ms': '4000',
			},
		}).then(async res => {
			await res.body.dump();
			return res.statusCode;
		}, () => 0);
		statuses.set(status, (statuses.get(status) ?? 0) + 1);
	};

	const runCallers = async (): Promise<void> => {
		for (let index = 0; !over.signal.aborted; index++) {
			const live = [...alive];
			void call(starts[live[index % live.length]!]!.address);
			await delay(REQUEST_EVERY_MS); // eslint-disable-line no-await-in-loop
		}
	};

	const stopRouter = async (index: number): Promise<void> => {
		if (alive.delete(index)) {
			await starts[index]!.router.stop();
		}
	};

	t.teardown(async () => {
		over.abort();
		await Promise.all(starts.map(async (_, index) => stopRouter(index)));
		await agent.destroy();
		await Promise.all([...old, ...next].map(async target => target.close()));
		await store.close();
	});
	await until(t, async () => {
		const results = await Promise.all(starts.map(async ({ready}) => {
			const res = await request(`http://${ready}/v1/readyz`);
			await res.body.dump();
			return res.statusCode;
		}));
		return results.every(status => status === 200);
	}, 'ready');
	return {
		store, old, next, lines, announce, stopRouter,
		routers: starts.map(({router}) => router),
		order(to, seconds = ORDER_S) {
			store.put('op', 'rollout/ledger', {service: 'ledger', to, duration_s: seconds});
		},
		status() {
			const text = store.rowsOf('status').get('rollout/ledger');
			return text === undefined ? undefined : statusSchema.parse(JSON.parse(text));
		},
		statuses: () => statuses,
		startCallers() {
			void runCallers();
		},
	};
};
