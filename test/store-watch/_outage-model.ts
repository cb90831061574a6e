/**
 * Simulates a fleet that watches two tables of a store, with outages of the store, connections
 * that go silent with a call or while idle, a store that does not serve some of the VMs, paused VMs, and lost reports between
 * VMs. Runs in virtual time without I/O and is reproducible from a seed.
 */
import {type ExchangePlan} from '../../src/core/placement/exchange-plan.js';
import {ReportPace} from '../../src/core/placement/report-pace.js';
import {MissingEntries} from '../../src/core/store-watch/missing-entries.js';
import {StoreContact} from '../../src/core/store-watch/store-contact.js';
import {TableWatcher} from '../../src/core/store-watch/table-watcher.js';
import {
	type ContactMessage, type MissingEntriesMessage, type WatchEffect, type WatchMessage,
} from '../../src/core/store-watch/types.js';
import {createRandom} from '../../tools/load/random.js';

const STEP_MS = 10;
const END_MS = 30_000;
/** Milliseconds that a call may take beyond its wait, as in the client of the store. */
const TIMEOUT_MS = 1000;
/** Milliseconds for which an idle connection is kept, as in the client of the store. */
const IDLE_CONNECTION_MS = 100;
/** Milliseconds of the store's response, and of a report. */
const MAX_DELAY_MS = 20;
/** Pause after a change of the targets, as a share of the bound. */
const TARGETS_PAUSE_SHARE = 0.45;
const OUTAGE_CHANCE = 0.0008;
const SILENCE_CHANCE = 0.0004;
const IDLE_SILENCE_CHANCE = 0.0008;
/** Share of the calls after an idle silence that use one of the silent connections. */
const SILENT_IDLE_SHARE = 0.7;
const UNSERVED_CHANCE = 0.0008;
const PAUSE_CHANCE = 0.0008;
const CHANGE_CHANCE = 0.01;
const LOST_REPORT_SHARE = 0.2;

export type Fleet = {
	readonly leastVms: number;
	readonly mostVms: number;
	/** Milliseconds after a disturbance from which a VM must keep the bound. */
	readonly contactMs: number;
	/** Milliseconds from an acknowledged change until it must be in force. */
	readonly boundMs: number;
	/** Milliseconds between two reports of a VM, and how many other VMs get each; 0: no reports. */
	readonly reportIntervalMs: number;
	readonly peersPerReport: number;
	/** Plan by which a VM with nothing new to tell sends fewer reports; absent if all VMs report at the same rate. */
	readonly plan?: ExchangePlan;
	/** Chance of a change in a step, if not the usual one. */
	readonly changeChance?: number;
};

const TABLES = ['op', 'servers'] as const;
type Table = typeof TABLES[number];

type Change = {readonly version: number; readonly atMs: number};
type Call = {
	readonly table: Table | 'probe';
	readonly effect: Extract<WatchEffect, {kind: 'read' | 'wait'}> | undefined;
	readonly begunMs: number;
	/** Time at which the store responds if nothing changes before. */
	readonly dueMs: number;
	/** Set if the response will never arrive. */
	isLost: boolean;
};

type Report = {readonly age: number; readonly outageSinceMs: number | undefined; readonly versions: ReadonlyArray<readonly [Table, number]>};
type Timer = {readonly atMs: number; readonly run: () => void};

export type OutageRun = {
	/** Longest time by which a VM missed the bound for a change of the operators' table, and for a target that left. */
	readonly configLateMs: number;
	readonly departureLateMs: number;
};

export const runOutageModel = (seed: number, {
	leastVms, mostVms, contactMs, boundMs, reportIntervalMs, peersPerReport, plan, changeChance = CHANGE_CHANCE,
}: Fleet): OutageRun => {
	const random = createRandom(seed);
	const chance = (p: number): boolean => random.uniform() < p;
	const size = leastVms + Math.floor(random.uniform() * (mostVms - leastVms + 1));
	let nowMs = 0;
	let version = 1;
	let outageUntilMs = -1;
	const changes: Record<Table, Change[]> = {op: [], servers: []};
	const lastOf = (table: Table): number => changes[table].at(-1)?.version ?? 0;

	const startVm = () => {
		const contact = new StoreContact(() => size, nowMs);
		const missing = new MissingEntries(() => contact.entriesCompleteMs);
		const watchers = new Map(TABLES.map(table => [table, new TableWatcher({
			pauseMs: table === 'op' ? 0 : boundMs * TARGETS_PAUSE_SHARE, vms: () => size, random: () => random.uniform(),
		})]));
		const left = new Set<number>();
		let calls: Call[] = [];
		let timers: Timer[] = [];
		let unservedUntilMs = -1;
		let pausedUntilMs = -1;
		/** Time until which an idle connection that has gone silent may be used; a failed call replaces it before. */
		let silentIdleUntilMs = -1;
		let disturbedMs = -Infinity;
		const pace = new ReportPace();
		let nextReportMs = random.uniform() * reportIntervalMs;
		let isResting = false;
		/** Does what the load exchange does when a change of the fleet has arrived. */
		const wake = (): void => {
			if (plan) {
				pace.noteEvent(plan, nowMs);
				if (isResting) {
					isResting = false;
					nextReportMs = nowMs + (plan.periodMs / 2);
				}
			}
		};

		const at = (atMs: number, run: () => void): void => {
			timers.push({atMs, run});
		};

		const isServed = (): boolean => nowMs >= outageUntilMs && nowMs >= unservedUntilMs;
		const begin = (table: Call['table'], effect: Call['effect']): void => {
			calls.push({
				table, effect, begunMs: nowMs, dueMs: nowMs + (random.uniform() * MAX_DELAY_MS) + (effect?.kind === 'wait' ? effect.waitMs : 0), isLost: nowMs <= silentIdleUntilMs && chance(SILENT_IDLE_SHARE),
			});
		};

		const handleWatcher = (table: Table, message: WatchMessage): void => {
			for (const effect of watchers.get(table)!.handle(message, nowMs)) {
				if (effect.kind === 'wake') {
					at(effect.atMs, () => {
						handleWatcher(table, {kind: 'tick'});
					});
				} else if (effect.kind === 'drop') {
					silentIdleUntilMs = -1;
					calls = calls.filter(call => call.table !== table || call.effect?.call !== effect.call);
				} else {
					begin(table, effect);
				}
			}
		};

		const handleMissing = (message: MissingEntriesMessage): void => {
			for (const effect of missing.handle(message, nowMs)) {
				if (effect.kind === 'wake') {
					at(effect.atMs, () => {
						handleMissing({kind: 'tick'});
					});
				} else if (effect.kind === 'left') {
					left.add(Number(effect.id));
				}
			}
		};

		const handleContact = (message: ContactMessage, watched?: string): void => {
			for (const effect of contact.handle(message, nowMs)) {
				switch (effect.kind) {
					case 'wake': {
						at(effect.atMs, () => {
							handleContact({kind: 'tick'});
						});
						break;
					}

					case 'probe': {
						begin('probe', undefined);
						break;
					}

					case 'regained': {
						handleMissing({kind: 'tick'});
						wake();
						for (const table of TABLES.filter(name => name !== watched)) {
							handleWatcher(table, {kind: 'regained'});
						}

						break;
					}

					case 'lost': {
						wake();
						break;
					}

					case 'outage-ended': {
						break;
					}
				}
			}
		};

		const answer = ({table, effect}: Call): void => {
			handleContact({kind: 'answered'}, table);
			if (table === 'probe' || !effect || !watchers.get(table)!.isPending(effect.call)) {
				return;
			}

			const after = effect.kind === 'wait' ? effect.afterVersion : 0;
			const found = changes[table].filter(change => change.version > after);
			if (found.length > 0) {
				wake();
			}

			if (table === 'servers') {
				for (const change of found) {
					handleMissing({kind: 'missing', id: String(change.version)});
				}
			}

			handleWatcher(table, effect.kind === 'read'
				? {kind: 'read', call: effect.call, version}
				: {
					kind: 'changes', call: effect.call, version, lastChangeVersion: found.at(-1)?.version,
				});
		};

		const stepCall = (call: Call): void => {
			const {table, effect} = call;
			const hasChange = table !== 'probe' && effect?.kind === 'wait' && lastOf(table) > effect.afterVersion && nowMs >= call.begunMs + MAX_DELAY_MS;
			call.isLost ||= !isServed() && (nowMs >= call.dueMs || hasChange || nowMs === call.begunMs);
			if (!call.isLost && (hasChange || nowMs >= call.dueMs)) {
				calls = calls.filter(other => other !== call);
				answer(call);
			} else if (nowMs >= call.dueMs + TIMEOUT_MS) {
				calls = calls.filter(other => other !== call);
				silentIdleUntilMs = -1;
				handleContact({kind: table === 'probe' ? 'read-failed' : 'watch-failed', begunMs: call.begunMs});
				if (table !== 'probe' && effect) {
					handleWatcher(table, {kind: 'failed', call: effect.call});
				}
			}
		};

		for (const table of TABLES) {
			handleWatcher(table, {kind: 'start'});
		}

		const freshness = (): Report => ({age: nowMs - contact.lastResponseToAnyVmMs, outageSinceMs: contact.outageSinceMs(nowMs), versions: TABLES.map(table => [table, watchers.get(table)!.lastChangeVersion] as const)});
		const news = () => {
			const {age, outageSinceMs, versions} = freshness();
			return {storeAgeMs: age, hasFigures: outageSinceMs !== undefined, facts: versions.flat().join(' ')};
		};

		return {
			freshness,
			/** Whether the next report is due; schedules the one after it. */
			takeDueReport(): boolean {
				if (!plan || nowMs < pausedUntilMs || nowMs < nextReportMs) {
					return false;
				}

				const periodMs = pace.noteReport({...news(), peers: size - 1}, plan, nowMs);
				isResting = periodMs > plan.periodMs;
				nextReportMs = nowMs + periodMs;
				return true;
			},
			onReport({age, outageSinceMs, versions}: Report): void {
				if (nowMs >= pausedUntilMs) {
					handleContact({kind: 'answered-elsewhere', atMs: nowMs - age});
					if (outageSinceMs !== undefined) {
						handleContact({kind: 'outage-elsewhere', sinceMs: outageSinceMs});
					}

					for (const [table, reported] of versions) {
						handleWatcher(table, {kind: 'heard', version: reported});
					}

					if (isResting && outageSinceMs !== undefined && pace.isNews(news())) {
						wake();
					}
				}
			},
			isPaused: () => nowMs < pausedUntilMs,
			disturb(): void {
				disturbedMs = nowMs;
			},
			pauseUntil(untilMs: number): void {
				pausedUntilMs = untilMs;
			},
			refuseUntil(untilMs: number): void {
				unservedUntilMs = untilMs;
			},
			/** Calls that are under way get no response. */
			silence(): void {
				for (const call of calls) {
					call.isLost = true;
				}
			},
			/** Connections without a call give no further response. */
			silenceIdle(): void {
				silentIdleUntilMs = nowMs + IDLE_CONNECTION_MS;
			},
			step(): void {
				if (nowMs < pausedUntilMs || !isServed()) {
					disturbedMs = nowMs;
				}

				if (nowMs < pausedUntilMs) {
					return;
				}

				if (pausedUntilMs >= 0) {
					pausedUntilMs = -1;
					handleContact({kind: 'resumed'});
					for (const table of TABLES) {
						handleWatcher(table, {kind: 'resumed'});
					}
				}

				const due = timers.filter(({atMs}) => atMs <= nowMs);
				timers = timers.filter(({atMs}) => atMs > nowMs);
				for (const {run} of due) {
					run();
				}

				for (const call of calls) {
					if (calls.includes(call)) {
						stepCall(call);
					}
				}
			},
			/** Returns by how much the bound for a change is missed. */
			lateMs(table: Table): number {
				const known = watchers.get(table)!.knownUpToVersion ?? 0;
				const open = changes[table].find(change => table === 'op' ? change.version > known : !left.has(change.version));
				return open ? nowMs - Math.max(open.atMs + boundMs, disturbedMs + contactMs) : 0;
			},
		};
	};

	const vms = Array.from({length: size}, () => startVm());
	const anyVm = () => vms[Math.floor(random.uniform() * size)]!;
	const disturb = (): void => {
		if (chance(OUTAGE_CHANCE)) {
			outageUntilMs = nowMs + (random.uniform() * 5000);
		}

		if (chance(SILENCE_CHANCE)) {
			for (const vm of vms) {
				vm.silence();
				vm.disturb();
			}
		}

		if (chance(IDLE_SILENCE_CHANCE)) {
			for (const vm of vms) {
				vm.silenceIdle();
				vm.disturb();
			}
		}

		if (chance(UNSERVED_CHANCE)) {
			anyVm().refuseUntil(nowMs + (random.uniform() * 5000));
		}

		if (chance(PAUSE_CHANCE)) {
			anyVm().pauseUntil(nowMs + 1000 + (random.uniform() * 4000));
		}
	};

	const reports: Array<{readonly atMs: number; readonly run: () => void}> = [];
	const sendReports = (): void => {
		for (const vm of vms.filter(sender => plan ? sender.takeDueReport() : !sender.isPaused())) {
			const report = vm.freshness();
			const others = peersPerReport >= size ? vms : Array.from({length: peersPerReport}, () => anyVm());
			for (const other of others.filter(receiver => receiver !== vm && !chance(LOST_REPORT_SHARE))) {
				reports.push({
					atMs: nowMs + (random.uniform() * MAX_DELAY_MS),
					run() {
						other.onReport(report);
					},
				});
			}
		}
	};

	let configLateMs = 0;
	let departureLateMs = 0;
	for (; nowMs < END_MS; nowMs += STEP_MS) {
		disturb();
		if (chance(changeChance) && nowMs >= outageUntilMs) {
			version++;
			changes[chance(0.5) ? 'op' : 'servers'].push({version, atMs: nowMs});
		}

		if (plan ?? (peersPerReport > 0 && nowMs % reportIntervalMs === 0)) {
			sendReports();
		}

		for (const report of reports.splice(0)) {
			if (report.atMs <= nowMs) {
				report.run();
			} else {
				reports.push(report);
			}
		}

		for (const vm of vms) {
			vm.step();
			configLateMs = Math.max(configLateMs, vm.lateMs('op'));
			departureLateMs = Math.max(departureLateMs, vm.lateMs('servers'));
		}
	}

	return {configLateMs, departureLateMs};
};
