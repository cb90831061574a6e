/**
 * A model of VMs that follow one table: a store whose answers may be lost on connections
 * that fall silent, word between VMs that is lost or late, store outages, and VMs that
 * stand still. All by a seed, without clock or I/O.
 */
import {TableWatcher} from '../../src/core/store-watch/table-watcher.js';
import {type WatchEffect} from '../../src/core/store-watch/types.js';
import {createRandom} from '../../tools/load/random.js';

const STEP_MS = 50;
const END_MS = 40_000;
const WORD_EVERY_MS = 400;
const WORD_PEERS = 8;
const TIMEOUT_MS = 1000;
/** Milliseconds without disturbance after which a VM has to know what is new. */
const CONTACT_MS = 5000;

type Call = {readonly call: number; readonly isRead: boolean; readonly afterVersion: number; readonly endMs: number; isSilent: boolean};

type Vm = {
	readonly follower: TableWatcher;
	open: Call | undefined;
	wakes: number[];
	/** Version that the VM acts on. */
	applied: number;
	pausedUntilMs: number;
	disturbedMs: number;
	behindSinceMs: number | undefined;
};

export type ModelRun = {
	/** Times that a VM took in an older version than it had. */
	readonly wentBack: number;
	/** Longest time for which a VM in touch did not know a change. */
	readonly behindMs: number;
};

export const runModel = (seed: number, {hasWord = true}: {readonly hasWord?: boolean} = {}): ModelRun => {
	const random = createRandom(seed);
	const chance = (p: number): boolean => random.uniform() < p;
	const size = 17 + Math.floor(random.uniform() * 40);
	let version = 1;
	let changedAt = 1;
	let awayUntilMs = -1;
	let wentBack = 0;
	let behindMs = 0;
	const words: Array<{readonly to: number; readonly atMs: number; readonly version: number}> = [];
	const vms: Vm[] = Array.from({length: size}, () => ({
		follower: new TableWatcher({pauseMs: 500, vms: () => size, random: () => random.uniform()}),
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
					call: effect.call, isRead: effect.kind === 'read', afterVersion: effect.kind === 'wait' ? effect.afterVersion : 0, endMs: nowMs + waitMs, isSilent: false,
				};
			}
		}
	};

	const take = (vm: Vm, found: number): void => {
		if (found < vm.applied) {
			wentBack++;
		}

		vm.applied = Math.max(vm.applied, found);
	};

	const stepCall = (vm: Vm, nowMs: number): void => {
		const {open} = vm;
		if (!open) {
			return;
		}

		if (open.isSilent || nowMs < awayUntilMs) {
			if (nowMs >= open.endMs + TIMEOUT_MS || (nowMs < awayUntilMs && !open.isSilent && chance(0.2))) {
				vm.open = undefined;
				perform(vm, vm.follower.handle({kind: 'failed', call: open.call}, nowMs), nowMs);
			}

			return;
		}

		const isNew = changedAt > open.afterVersion;
		if (open.isRead || isNew || nowMs >= open.endMs) {
			vm.open = undefined;
			take(vm, changedAt);
			perform(vm, vm.follower.handle(open.isRead
				? {kind: 'read', call: open.call, version}
				: {
					kind: 'changes', call: open.call, version, lastChangeVersion: isNew ? changedAt : undefined,
				}, nowMs), nowMs);
		}
	};

	const disturb = (nowMs: number): void => {
		if (chance(0.002)) {
			// All connections that are open now fall silent for good.
			for (const vm of vms) {
				if (vm.open) {
					vm.open.isSilent = true;
				}

				vm.disturbedMs = nowMs;
			}
		}

		if (chance(0.002)) {
			awayUntilMs = nowMs + (random.uniform() * 4000);
		}

		if (chance(0.02)) {
			const vm = vms[Math.floor(random.uniform() * size)]!;
			vm.pausedUntilMs = nowMs + (random.uniform() * 6000);
		}
	};

	const sendWord = (from: Vm, nowMs: number): void => {
		for (let peer = 0; peer < WORD_PEERS; peer++) {
			if (!chance(0.1)) {
				words.push({to: Math.floor(random.uniform() * size), atMs: nowMs + (random.uniform() * 100), version: from.follower.lastChangeVersion});
			}
		}
	};

	for (const vm of vms) {
		perform(vm, vm.follower.handle({kind: 'start'}, 0), 0);
	}

	for (let nowMs = 0; nowMs < END_MS; nowMs += STEP_MS) {
		disturb(nowMs);
		if (chance(0.02)) {
			version += 1 + Math.floor(random.uniform() * 5);
			changedAt = version;
		} else if (chance(0.2)) {
			version++;
		}

		for (const word of words.filter(({atMs}) => atMs <= nowMs)) {
			const vm = vms[word.to]!;
			if (nowMs >= vm.pausedUntilMs) {
				perform(vm, vm.follower.handle({kind: 'heard', version: word.version}, nowMs), nowMs);
			}
		}

		words.splice(0, words.length, ...words.filter(({atMs}) => atMs > nowMs));
		for (const [index, vm] of vms.entries()) {
			if (nowMs < vm.pausedUntilMs || nowMs < awayUntilMs) {
				vm.disturbedMs = nowMs;
			}

			if (nowMs >= vm.pausedUntilMs) {
				const due = vm.wakes.filter(atMs => atMs <= nowMs);
				vm.wakes = vm.wakes.filter(atMs => atMs > nowMs);
				for (const {} of due) { // eslint-disable-line no-empty-pattern
					perform(vm, vm.follower.handle({kind: 'tick'}, nowMs), nowMs);
				}

				stepCall(vm, nowMs);
				if (hasWord && (nowMs + (index * STEP_MS)) % WORD_EVERY_MS === 0) {
					sendWord(vm, nowMs);
				}
			}

			const isInTouch = nowMs - vm.disturbedMs >= CONTACT_MS;
			vm.behindSinceMs = vm.applied < changedAt && isInTouch ? vm.behindSinceMs ?? nowMs : undefined;
			behindMs = Math.max(behindMs, vm.behindSinceMs === undefined ? 0 : nowMs - vm.behindSinceMs);
		}
	}

	return {wentBack, behindMs};
};
