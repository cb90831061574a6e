/** Runs the membership, configuration and lease tasks of several VMs on one manual clock, with links in memory. */
import {setImmediate as settle} from 'node:timers/promises';
import {create, type MessageInitShape} from '@bufbuild/protobuf';
import {type Frame, FrameSchema} from '../../src/gen/jackdawwood/v1/control_pb.js';
import {createConfigTask} from '../../src/runtime/config/config-task.js';
import {type ConfigTask} from '../../src/runtime/config/types.js';
import {createLeaseTask} from '../../src/runtime/lease/lease-task.js';
import {type LeaseTask} from '../../src/runtime/lease/types.js';
import {createMembershipTask} from '../../src/runtime/membership/membership-task.js';
import {type LinkPort, type MembershipTask, type Sender} from '../../src/runtime/membership/types.js';
import {FakePlatform} from './fake-platform.js';

const STEP_MS = 50;

type VmStatus = {isPaused: boolean; isDead: boolean};
type Timer = {readonly owner: VmStatus; readonly intervalMs: () => number; readonly run: () => void; dueMs: number};
type Delivery = {readonly to: FakeVm; readonly deliver: () => void};

export type FakeVm = {
	readonly id: string;
	readonly dataCentre: string;
	readonly incarnation: string;
	readonly membership: MembershipTask;
	readonly config: ConfigTask;
	readonly lease: LeaseTask;
	readonly receive: (from: Sender, frame: Frame) => void;
	readonly setPeerState: (vm: string, state: 'up' | 'down') => void;
	readonly status: VmStatus;
};

export type FakeFleetOptions = {
	/** Names of the VMs by data centre. */
	readonly dataCentres: Readonly<Record<string, readonly string[]>>;
	readonly services: readonly string[];
};

export class FakeFleet {
	readonly platform = new FakePlatform();
	readonly vms = new Map<string, FakeVm>();
	nowMs = 1000;
	#incarnations = 0;
	#timers: Timer[] = [];
	#undelivered: Delivery[] = [];
	readonly #cut = new Set<string>();

	constructor(private readonly options: FakeFleetOptions) {
		this.platform.vms = this.#all().map(({id, dataCentre}) => ({
			id, dataCentre, control: `ip-${id}`, admin: '', state: 'live', startedMs: 0,
		}));
		for (const {id, dataCentre} of this.#all()) {
			this.start(id, dataCentre);
		}
	}

	get(id: string): FakeVm {
		return this.vms.get(id)!;
	}

	/** Starts a VM without state. Its links come up at once. */
	start(id: string, dataCentre: string): void {
		this.#incarnations++;
		const vm = this.#createVm(id, dataCentre, `${id}/${this.#incarnations}`);
		this.vms.set(id, vm);
		for (const other of this.vms.values()) {
			if (other.id !== id && !other.status.isDead) {
				vm.setPeerState(other.id, 'up');
				other.setPeerState(id, 'up');
			}
		}
	}

	kill(id: string): void {
		const vm = this.get(id);
		vm.status.isDead = true;
		this.#timers = this.#timers.filter(({owner}) => owner !== vm.status);
		for (const other of this.vms.values()) {
			if (other !== vm && !other.status.isDead) {
				other.setPeerState(id, 'down');
			}
		}
	}

	/** Drops frames between the two groups until `heal` is called. */
	partition(left: readonly string[], right: readonly string[]): void {
		for (const a of left) {
			for (const b of right) {
				this.#cut.add(`${a} ${b}`);
				this.#cut.add(`${b} ${a}`);
			}
		}
	}

	heal(): void {
		this.#cut.clear();
	}

	/** Advances the clock in steps; `check` runs after each step. */
	async run(durationMs: number, check: () => void = () => undefined): Promise<void> {
		const endMs = this.nowMs + durationMs;
		while (this.nowMs < endMs) {
			this.nowMs += STEP_MS;
			this.#fireTimers();
			for (let round = 0; round < 4; round++) {
				this.#deliver();
				await settle(); // eslint-disable-line no-await-in-loop
			}

			check();
		}
	}

	/** Returns the VMs of the data centre that hold a valid lease now. */
	holders(service: string, dataCentre: string): ReadonlyArray<{readonly vm: string; readonly epoch: number}> {
		return [...this.vms.values()].flatMap(vm => {
			const epoch = vm.dataCentre === dataCentre && !vm.status.isDead ? vm.lease.ownEpoch(service) : undefined;
			return epoch === undefined ? [] : [{vm: vm.id, epoch}];
		});
	}

	#all(): ReadonlyArray<{readonly id: string; readonly dataCentre: string}> {
		return Object.entries(this.options.dataCentres).flatMap(([dataCentre, ids]) => ids.map(id => ({id, dataCentre})));
	}

	#fireTimers(): void {
		for (const timer of this.#timers) {
			if (!timer.owner.isPaused && timer.dueMs <= this.nowMs) {
				timer.dueMs = this.nowMs + timer.intervalMs();
				timer.run();
			}
		}
	}

	#deliver(): void {
		const ready = this.#undelivered.filter(({to}) => !to.status.isPaused);
		this.#undelivered = this.#undelivered.filter(({to}) => to.status.isPaused && !to.status.isDead);
		for (const {to, deliver} of ready) {
			if (!to.status.isDead) {
				deliver();
			}
		}
	}

	#send(from: Sender, to: string, part: MessageInitShape<typeof FrameSchema>): void {
		const target = this.vms.get(to);
		if (!target || target.status.isDead || !this.#isLinked(from.vm, to) || this.#cut.has(`${from.vm} ${to}`)) {
			return;
		}

		const frame = create(FrameSchema, part);
		this.#undelivered.push({
			to: target,
			deliver() {
				target.receive(from, frame);
			},
		});
	}

	/** Returns whether the VMs are linked: a link exists when at least one of them lists the other as a peer. */
	#isLinked(left: string, right: string): boolean {
		const requestsLink = (from: string, to: string): boolean =>
			this.vms.get(from)?.membership.linkPeers().some(({id}) => id === to) ?? false;
		return requestsLink(left, right) || requestsLink(right, left);
	}

	#createVm(id: string, dataCentre: string, incarnation: string): FakeVm {
		const frameListeners: Array<(from: Sender, frame: Frame) => void> = [];
		const peerListeners: Array<(event: {readonly vm: string; readonly state: 'up' | 'down'}) => void> = [];
		const sender: Sender = {vm: id, dataCentre, incarnation};
		const owned: Timer[] = [];
		const links: LinkPort = {
			queue: (vm, part) => {
				this.#send(sender, vm, part);
			},
			onFrame(listener) {
				frameListeners.push(listener);
			},
			onPeer(listener) {
				peerListeners.push(listener);
			},
		};
		const clock = {nowMs: () => this.nowMs};
		const every = (intervalMs: () => number, run: () => void) => {
			owned.push({
				owner: status, intervalMs, run, dueMs: this.nowMs + intervalMs(),
			});
			return () => undefined;
		};

		const status: VmStatus = {isPaused: false, isDead: false};
		const platform = this.platform.client(id);
		const known = this.#all().map(other => ({
			...other, control: `ip-${other.id}`, admin: '', state: 'live' as const,
		}));
		const membership = createMembershipTask({
			self: {...known.find(other => other.id === id)!, incarnation},
			seeds: known,
			clock,
			every,
			platform,
			links,
			configVersion: () => config.latest()?.version ?? 0,
		});
		const config = createConfigTask({
			clock,
			every,
			random: () => 0.5,
			platform,
			links,
			membership,
			onRejected: () => undefined,
		});
		const lease = createLeaseTask({
			clock,
			platform,
			links,
			membership,
			services: () => this.options.services,
			slotLeaseMs: () => 2000,
			createOperationId: () => `${incarnation}-${this.nowMs}-${this.platform.writes}`,
		});
		this.#timers.push(...owned);
		return {
			id,
			dataCentre,
			incarnation,
			status,
			membership,
			config,
			lease,
			receive(from: Sender, frame: Frame) {
				for (const listener of frameListeners) {
					listener(from, frame);
				}
			},
			setPeerState(peer: string, state: 'up' | 'down') {
				for (const listener of peerListeners) {
					listener({vm: peer, state});
				}
			},
		};
	}
}
