/**
 * A simulated fleet that carries out roll-outs, in virtual time and reproducibly from a seed:
 * the real tasks of many VMs, a store with conditional writes, gossip with losses, and faults
 * that the tests inject.
 */
import {
	type RolloutState, type RolloutWriteResult, type StoredRolloutState, type RolloutOrderRow,
} from '../../src/core/rollout/types.js';
import {type TargetRecord} from '../../src/core/routing/types.js';
import {silentLog} from '../../src/runtime/observe/log.js';
import {createMetrics} from '../../src/runtime/observe/metrics.js';
import {createRolloutTask, type RolloutTask} from '../../src/runtime/rollout/rollout-task.js';
import {type RolloutMessage, type RolloutStore} from '../../src/runtime/rollout/types.js';
import {createRandom, type Random} from '../../tools/load/random.js';

export const SERVICE = 's';
const GOSSIP_MS = 300;
const GOSSIP_PEERS = 3;
const MESSAGE_LOSS_RATE = 0.02;
const LATENCY_TARGET_MS = 300;
const MEAN_RESPONSE_MS = 40;
const BOUNDS = {share: 0.1, slack: 50, rollbackMs: 5000};
const ROLLBACK_AFTER_BAD_RESPONSES = 50;
const metrics = createMetrics();

export type ModelOptions = {
	readonly seed: number;
	readonly vms: number;
	readonly requestsPerS: number;
	/** Share of the new version's requests that fail. */
	readonly failed: number;
};

type Write = {readonly atMs: number; readonly state: RolloutState; readonly reason: string};

type Vm = {
	readonly name: string;
	task: RolloutTask | undefined;
	/** Number of the process instance; differs after each restart. */
	run: number;
	pausedUntilMs: number;
	/** Network partition of the VM, which can reach only VMs of the same partition. */
	partition: number;
	reachesStore: boolean;
	/** Actions that wait for the end of a pause. */
	deferred: Array<() => void>;
	targets: Map<string, TargetRecord>;
};

type Sent = {readonly atMs: number; readonly vm: string; readonly version: string};

/** How the store treats calls. `response-lost` and `done-later` concern conditional writes only. */
export type StoreFault = 'well' | 'unavailable' | 'slow' | 'response-lost' | 'done-later';

export class Model {
	readonly vms: Vm[] = [];
	readonly sent: Sent[] = [];
	readonly badMs: number[] = [];
	readonly writes: Write[] = [];
	nowMs = 0;
	fault: StoreFault = 'well';
	/** Called when a VM's write was done, before the VM receives the result. */
	readonly hooks: {onApplied?: (vm: Vm) => void} = {};
	readonly #options: ModelOptions;
	readonly #random: Random;
	readonly #events = new Map<number, Array<() => void>>();
	#names: readonly string[] = [];
	#version = 1;
	#order: RolloutOrderRow | undefined;
	#stored: StoredRolloutState | undefined;
	readonly #targets = new Map<string, TargetRecord>();
	#grants = 0;
	readonly #failed: number;

	constructor(options: ModelOptions) {
		this.#options = options;
		this.#failed = options.failed;
		this.#random = createRandom(options.seed);
		this.addTarget('o1', 'v1');
		this.addTarget('o2', 'v1');
		for (let index = 0; index < options.vms; index++) {
			this.addVm();
		}

		this.#scheduleArrival();
	}

	get state(): RolloutState | undefined {
		return this.#stored?.state;
	}

	/** Returns the coordinator that the VMs' announcements name. */
	coordinator(): Vm | undefined {
		for (const {task} of this.vms) {
			const name = task?.announcements().find(({coordinator}) => coordinator !== '')?.coordinator;
			if (name !== undefined) {
				return this.vms.find(vm => vm.name === name);
			}
		}

		return undefined;
	}

	at(atMs: number, act: () => void): void {
		const index = Math.max(this.nowMs + 1, Math.round(atMs));
		const acts = this.#events.get(index) ?? [];
		this.#events.set(index, acts);
		acts.push(act);
	}

	async runUntil(endMs: number): Promise<void> {
		while (this.nowMs < endMs) {
			this.nowMs++;
			const acts = this.#events.get(this.nowMs) ?? [];
			this.#events.delete(this.nowMs);
			for (const act of acts) {
				act();
			}

			if (acts.length > 0) {
				// Tasks wait for the store through chains of several promises.
				for (let step = 0; step < 12; step++) {
					await Promise.resolve(); // eslint-disable-line no-await-in-loop
				}
			}
		}
	}

	addVm(): void {
		const vm: Vm = {
			name: `vm-${this.vms.length}`, task: undefined, run: 0, pausedUntilMs: -Infinity, partition: 0, reachesStore: true, deferred: [], targets: new Map(),
		};
		this.vms.push(vm);
		this.#names = this.vms.map(({name}) => name);
		this.start(vm);
		this.#scheduleGossip(vm);
	}

	start(vm: Vm): void {
		vm.run++;
		vm.deferred = [];
		const {run} = vm;
		const isCurrent = () => vm.run === run && vm.task !== undefined;
		vm.targets = new Map();
		vm.task = createRolloutTask({
			vm: vm.name, incarnation: String(run), vms: () => this.#names, bounds: BOUNDS, store: this.#storeOf(vm), clock: {nowMs: () => this.nowMs}, wallMs: () => this.nowMs,
			log: silentLog, metrics, targets: () => vm.targets, isUsable: ({isDraining}) => !isDraining,
			schedule: (act, ms) => {
				let isOn = true;
				this.at(this.nowMs + ms, () => {
					this.#runWhenAwake(vm, () => {
						if (isOn && isCurrent()) {
							act();
						}
					});
				});
				return () => {
					isOn = false;
				};
			},
			sendToPeer: (name, message) => {
				this.#send(vm, name, message);
			},
			onVersionSplit: () => undefined,
		});
		// A VM reads the whole tables at its start.
		this.at(this.nowMs + 20, () => {
			if (isCurrent()) {
				vm.targets = new Map(this.#targets);
				for (const target of vm.targets.values()) {
					vm.task?.onTarget(target);
				}

				if (this.#order) {
					vm.task?.onOrder(SERVICE, {...this.#order, isChange: false});
				}

				vm.task?.onTargetsRead();
			}
		});
	}

	kill(vm: Vm): void {
		vm.run++;
		vm.task?.stop();
		vm.task = undefined;
		vm.deferred = [];
	}

	pause(vm: Vm, ms: number): void {
		vm.pausedUntilMs = this.nowMs + ms;
		this.at(vm.pausedUntilMs, () => {
			const {deferred} = vm;
			vm.deferred = [];
			for (const act of deferred) {
				act();
			}
		});
	}

	order(to: string | undefined, durationMs = 12_000): void {
		this.#version++;
		this.#order = {order: to === undefined ? undefined : {version: this.#version, to, durationMs}, rowVersion: this.#version, isChange: true};
		const row = this.#order;
		this.#notifyAll(vm => {
			vm.task?.onOrder(SERVICE, row);
		});
	}

	addTarget(id: string, version: string): void {
		const target: TargetRecord = {
			id, service: SERVICE, address: '', dataCentre: 'dc', slots: 8, isDraining: false, coldRemainingMs: 0, sequence: 1, bornMs: 1, version,
		};
		this.#targets.set(id, target);
		this.#notifyAll(vm => {
			vm.targets.set(id, target);
			vm.task?.onTarget(target);
		});
	}

	removeTargets(version: string): void {
		for (const target of this.#targets.values()) {
			if (target.version === version) {
				this.#targets.delete(target.id);
				this.#notifyAll(vm => {
					vm.targets.delete(target.id);
				});
			}
		}
	}

	/** Returns the requests that were sent to a version within a period. */
	sentTo(version: string, fromMs = 0, toMs = Infinity): readonly Sent[] {
		return this.sent.filter(each => each.version === version && each.atMs >= fromMs && each.atMs <= toMs);
	}

	/** Returns when the first final phase was written; infinite if there is none. */
	endMs(): number {
		return this.writes.find(({state: {phase}}) => phase === 'completed' || phase === 'rolled-back')?.atMs ?? Infinity;
	}

	/** Returns the invariants that the run has violated. The bounds on exposure and on the time to roll back are checked only for a bad version. */
	violations(): readonly string[] {
		const violations: string[] = [];
		const ended = new Map<number, string>();
		for (const {state: {order, phase}} of this.writes) {
			const end = ended.get(order);
			if (end !== undefined) {
				violations.push(`order ${order} went from ${end} to ${phase}`);
			} else if (phase === 'completed' || phase === 'rolled-back') {
				ended.set(order, phase);
			}
		}

		if (this.#options.failed > 0) {
			const exposed = this.sentTo('v2').length;
			const bound = (this.sent.length * BOUNDS.share) + BOUNDS.slack;
			const fiftieth = this.badMs.toSorted((a, b) => a - b)[ROLLBACK_AFTER_BAD_RESPONSES - 1] ?? Infinity;
			const after = this.sentTo('v2', fiftieth + BOUNDS.rollbackMs).length;
			violations.push(
				...(exposed > bound ? [`exposed ${exposed} of ${bound}`] : []),
				...(after > 0 ? [`${after} sent after the time to roll back`] : []),
				...([...ended.values()].includes('completed') ? ['a bad version was completed'] : []),
			);
		}

		return violations;
	}

	#runWhenAwake(vm: Vm, act: () => void): void {
		if (this.nowMs < vm.pausedUntilMs) {
			vm.deferred.push(act);
		} else {
			act();
		}
	}

	#notifyAll(act: (vm: Vm) => void): void {
		for (const vm of this.vms) {
			const {run} = vm;
			this.at(this.nowMs + this.#random.int(2, 60), () => {
				this.#runWhenAwake(vm, () => {
					if (vm.run === run) {
						act(vm);
					}
				});
			});
		}
	}

	#send(from: Vm, name: string, message: RolloutMessage): void {
		const to = this.vms.find(vm => vm.name === name);
		if (to?.partition !== from.partition || this.#random.uniform() < MESSAGE_LOSS_RATE) {
			return;
		}

		const {run} = to;
		this.at(this.nowMs + this.#random.int(1, 3), () => {
			this.#runWhenAwake(to, () => {
				if (to.run === run) {
					to.task?.onMessage(from.name, {announcements: [], evidence: [], ...message});
				}
			});
		});
	}

	#scheduleGossip(vm: Vm): void {
		this.at(this.nowMs + (GOSSIP_MS * (0.8 + (this.#random.uniform() * 0.4))), () => {
			this.#runWhenAwake(vm, () => {
				const announcements = vm.task?.announcements() ?? [];
				for (let peer = 0; peer < GOSSIP_PEERS && announcements.length > 0; peer++) {
					this.#send(vm, this.#names[this.#random.int(0, this.#names.length - 1)]!, {announcements});
				}

				this.#scheduleGossip(vm);
			});
		});
	}

	async #callStore<Result>(vm: Vm, act: () => Result, lost: Result): Promise<Result> {
		const {run} = vm;
		return new Promise(resolve => {
			const respond = (result: Result, ms: number): void => {
				this.at(this.nowMs + ms, () => {
					this.#runWhenAwake(vm, () => {
						if (vm.run === run) {
							resolve(result);
						}
					});
				});
			};

			if (!vm.reachesStore || this.fault === 'unavailable') {
				respond(lost, 20);
				return;
			}

			this.at(this.nowMs + (this.fault === 'slow' ? 700 : this.#random.int(2, 15)), () => {
				respond(act(), this.#random.int(2, 15));
			});
		});
	}

	#storeOf(vm: Vm): RolloutStore {
		return {
			readOrders: async () => this.#callStore(vm, () => ({orders: new Map(this.#order?.order ? [[SERVICE, {...this.#order, isChange: false}]] : []), atVersion: this.#version}), undefined),
			readStates: async () => this.#callStore(vm, () => new Map(this.#stored ? [[SERVICE, this.#stored]] : []), undefined),
			write: async (_, {order, expected, state, reason}) => {
				const apply = (): boolean => {
					if ((this.#stored?.revision ?? 0) !== expected || (this.#order?.order?.version ?? 0) !== order) {
						return false;
					}

					this.#version++;
					this.#stored = {state, revision: this.#version};
					this.writes.push({atMs: this.nowMs, state, reason});
					this.hooks.onApplied?.(vm);
					return true;
				};

				if (this.fault === 'response-lost' || this.fault === 'done-later') {
					this.at(this.nowMs + (this.fault === 'done-later' ? 1200 : 5), () => {
						apply();
					});
					return new Promise(resolve => {
						this.at(this.nowMs + 1000, () => {
							this.#runWhenAwake(vm, () => {
								resolve({kind: 'maybe-written'});
							});
						});
					});
				}

				return this.#callStore<RolloutWriteResult>(vm, () => apply() ? {kind: 'written', revision: this.#version} : {kind: 'conflict'}, {kind: 'not-written'});
			},
		};
	}

	#scheduleArrival(): void {
		this.at(this.nowMs + this.#random.exponential(1000 / this.#options.requestsPerS), () => {
			const vm = this.vms[this.#random.int(0, this.vms.length - 1)]!;
			// A caller whose VM is down or paused uses another VM.
			const {task} = vm;
			if (task?.isReady() === true && this.nowMs >= vm.pausedUntilMs) {
				this.#serve(vm, task);
			}

			this.#scheduleArrival();
		});
	}

	/** Chooses a version as the scheduler does, and sends the request. */
	#serve(vm: Vm, task: RolloutTask): void {
		this.#grants++;
		const grant = `g${this.#grants}`;
		const split = task.versionSplit(SERVICE);
		const known = [...vm.targets.values()];
		const versions = new Set(known.map(({version = ''}) => version));
		const isBefore = (version: string) => split.before ? split.before.includes(version) : !split.unconfirmed.has(version);
		const usable = [...versions].filter(version => isBefore(version));
		const hasNext = split.next !== undefined && versions.has(split.next);
		const usesNewVersion = task.usesNewVersion(SERVICE, {id: grant, isRepeat: false}, {hasBefore: usable.length > 0, hasNext});
		const version = usesNewVersion ? split.next : usable[this.#random.int(0, Math.max(0, usable.length - 1))];
		if (version === undefined || !task.maySend(SERVICE, version, usable.length > 0)) {
			return;
		}

		this.sent.push({atMs: this.nowMs, vm: vm.name, version});
		task.evidence.noteSent(grant, {
			service: SERVICE, route: 'r', version, isCold: false, targetLatencyMs: LATENCY_TARGET_MS, sentMs: this.nowMs,
		});
		const fails = this.#random.uniform() < (version === 'v2' ? this.#failed : 0.002);
		this.at(this.nowMs + (MEAN_RESPONSE_MS * (0.5 + this.#random.uniform())), () => {
			if (fails && version === 'v2') {
				this.badMs.push(this.nowMs);
			}

			this.#runWhenAwake(vm, () => {
				task.evidence.noteEnd(grant, {kind: fails ? 'failed' : 'answered', cost: 0, answerMs: MEAN_RESPONSE_MS}, false, this.nowMs);
			});
		});
	}
}
