/**
 * Simulates VMs that watch one table: a store whose responses are lost on connections that stop
 * responding, gossip between VMs that is lost or late, store outages, and paused VMs. Runs in
 * virtual time without I/O and is reproducible from a seed.
 */
import {TableWatcher} from '../../src/core/store-watch/table-watcher.js';
import {type WatchEffect} from '../../src/core/store-watch/types.js';
import {createRandom} from '../../tools/load/random.js';

const STEP_MS = 50;
const END_MS = 40_000;
const GOSSIP_INTERVAL_MS = 400;
const GOSSIP_PEERS = 8;
const TIMEOUT_MS = 1000;
/** Milliseconds without a disturbance after which a VM must know all changes again. */
const RECOVERY_MS = 5000;

type Call = {readonly call: number; readonly isRead: boolean; readonly afterVersion: number; readonly endMs: number; isUnresponsive: boolean};

type Vm = {
	readonly watcher: TableWatcher;
	open: Call | undefined;
	wakes: number[];
	/** Version of the table that the VM uses. */
	applied: number;
	pausedUntilMs: number;
	disturbedMs: number;
	behindSinceMs: number | undefined;
};

export type ModelRun = {
	/** How many times a VM applied an older version than it had. */
	readonly regressions: number;
	/** Longest time for which an undisturbed VM did not know a change. */
	readonly behindMs: number;
};

export const runModel = (seed: number, {hasGossip = true}: {readonly hasGossip?: boolean} = {}): ModelRun => {
	const random = createRandom(seed);
	const chance = (p: number): boolean => random.uniform() < p;
	const size = 17 + Math.floor(random.uniform() * 40);
	let version = 1;
	let lastChangeVersion = 1;
	let outageUntilMs = -1;
	let regressions = 0;
	let behindMs = 0;
	const messages: Array<{readonly to: number; readonly atMs: number; readonly version: number}> = [];
	const vms: Vm[] = Array.from({length: size}, () => ({
		watcher: new TableWatcher({pauseMs: 500, vms: () => size, random: () => random.uniform()}),
		open: undefined,
		wakes: [],
		applied: 0,
		pausedUntilMs: -1,
		disturbedMs: 0,
		behindSinceMs: undefined,
	}));

	const perform = (vm: Vm, effects: readonly WatchEffect[], nowMs: number): void => {
		for (const effect of effects) {
			if (effect.kind === 'wake') {
				vm.wakes.push(effect.atMs);
			} else if (effect.kind === 'drop') {
				vm.open = undefined;
			} else {
				const waitMs = effect.kind === 'wait' ? effect.waitMs : 0;
				vm.open = {
					call: effect.call, isRead: effect.kind === 'read', afterVersion: effect.kind === 'wait' ? effect.afterVersion : 0, endMs: nowMs + waitMs, isUnresponsive: false,
				};
			}
		}
	};

	const applyVersion = (vm: Vm, found: number): void => {
		if (found < vm.applied) {
			regressions++;
		}

		vm.applied = Math.max(vm.applied, found);
	};

	const stepCall = (vm: Vm, nowMs: number): void => {
		const {open} = vm;
		if (!open) {
			return;
		}

		if (open.isUnresponsive || nowMs < outageUntilMs) {
			if (nowMs >= open.endMs + TIMEOUT_MS || (nowMs < outageUntilMs && !open.isUnresponsive && chance(0.2))) {
				vm.open = undefined;
				perform(vm, vm.watcher.handle({kind: 'failed', call: open.call}, nowMs), nowMs);
			}

			return;
		}

		const isNew = lastChangeVersion > open.afterVersion;
		if (open.isRead || isNew || nowMs >= open.endMs) {
			vm.open = undefined;
			applyVersion(vm, lastChangeVersion);
			perform(vm, vm.watcher.handle(open.isRead
				? {kind: 'read', call: open.call, version}
				: {
					kind: 'changes', call: open.call, version, lastChangeVersion: isNew ? lastChangeVersion : undefined,
				}, nowMs), nowMs);
		}
	};

	const disturb = (nowMs: number): void => {
		if (chance(0.002)) {
			// All connections that are open now stop responding for good.
			for (const vm of vms) {
				if (vm.open) {
					vm.open.isUnresponsive = true;
				}

				vm.disturbedMs = nowMs;
			}
		}

		if (chance(0.002)) {
			outageUntilMs = nowMs + (random.uniform() * 4000);
		}

		if (chance(0.02)) {
			const vm = vms[Math.floor(random.uniform() * size)]!;
			vm.pausedUntilMs = nowMs + (random.uniform() * 6000);
		}
	};

	const sendGossip = (from: Vm, nowMs: number): void => {
		for (let peer = 0; peer < GOSSIP_PEERS; peer++) {
			if (!chance(0.1)) {
				messages.push({to: Math.floor(random.uniform() * size), atMs: nowMs + (random.uniform() * 100), version: from.watcher.lastChangeVersion});
			}
		}
	};

	for (const vm of vms) {
		perform(vm, vm.watcher.handle({kind: 'start'}, 0), 0);
	}

	for (let nowMs = 0; nowMs < END_MS; nowMs += STEP_MS) {
		disturb(nowMs);
		if (chance(0.02)) {
			version += 1 + Math.floor(random.uniform() * 5);
			lastChangeVersion = version;
		} else if (chance(0.2)) {
			version++;
		}

		for (const message of messages.filter(({atMs}) => atMs <= nowMs)) {
			const vm = vms[message.to]!;
			if (nowMs >= vm.pausedUntilMs) {
				perform(vm, vm.watcher.handle({kind: 'heard', version: message.version}, nowMs), nowMs);
			}
		}

		messages.splice(0, messages.length, ...messages.filter(({atMs}) => atMs > nowMs));
		for (const [index, vm] of vms.entries()) {
			if (nowMs < vm.pausedUntilMs || nowMs < outageUntilMs) {
				vm.disturbedMs = nowMs;
			}

			if (nowMs >= vm.pausedUntilMs) {
				const due = vm.wakes.filter(atMs => atMs <= nowMs);
				vm.wakes = vm.wakes.filter(atMs => atMs > nowMs);
				for (const {} of due) { // eslint-disable-line no-empty-pattern
					perform(vm, vm.watcher.handle({kind: 'tick'}, nowMs), nowMs);
				}

				stepCall(vm, nowMs);
				if (hasGossip && (nowMs + (index * STEP_MS)) % GOSSIP_INTERVAL_MS === 0) {
					sendGossip(vm, nowMs);
				}
			}

			const isUndisturbed = nowMs - vm.disturbedMs >= RECOVERY_MS;
			vm.behindSinceMs = vm.applied < lastChangeVersion && isUndisturbed ? vm.behindSinceMs ?? nowMs : undefined;
			behindMs = Math.max(behindMs, vm.behindSinceMs === undefined ? 0 : nowMs - vm.behindSinceMs);
		}
	}

	return {regressions, behindMs};
};
