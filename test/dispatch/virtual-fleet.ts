/**
 * Simulation of a fleet's dispatch of one service in virtual time. It runs the real
 * schedulers of all VMs; messages take a fixed time, and a request runs for one millisecond
 * per cost unit.
 */
import {create} from '@bufbuild/protobuf';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {createCostEstimator} from '../../src/core/admission/cost-estimator.js';
import {type MemberEffect} from '../../src/core/dispatch/pool-member.js';
import {fleetConfigSchema} from '../../src/core/config/fleet-config.js';
import {FrameSchema} from '../../src/gen/jackdawwood/v1/control_pb.js';
import {allotmentFromMessage, exchangeFromMessage, reportFromMessage} from '../../src/runtime/dispatch/convert.js';
import {ServiceDispatch} from '../../src/runtime/dispatch/service-dispatch.js';
import {type FramePart} from '../../src/runtime/link/types.js';
import {silentLog} from '../../src/runtime/observe/log.js';

export type VirtualTeam = {
	readonly name: string;
	readonly weight: number;
	/** Indices of the VMs that the team's callers use. */
	readonly vms: readonly number[];
	/** Number of requests kept waiting or running at each of these VMs. */
	readonly concurrency: number;
	/** Range from which costs are drawn, in cost units. */
	readonly cost: readonly [min: number, max: number];
	/** Ratio of the caller's cost hint to the actual cost. */
	readonly hintFactor?: number;
};

export type VirtualFleetOptions = {
	readonly seed: number;
	/** Number of VMs of each data centre. */
	readonly vms: readonly number[];
	/** Number of targets of each data centre. */
	readonly targets: readonly number[];
	readonly contract: Readonly<{coldLimit: number; warmLimit: number; growAfterAnswers: number}>;
	readonly teams: readonly VirtualTeam[];
	readonly durationMs: number;
	/** Time before the measurement begins. */
	readonly warmUpMs: number;
	/** Latency of a message. */
	readonly linkMs: number;
	/** Time in which the last data centre and the others do not receive each other's messages. */
	readonly partition?: Readonly<{fromMs: number; toMs: number}>;
	readonly tickMs: number;
};

export type VirtualResult = {
	/** Cost units served by team. */
	readonly service: ReadonlyMap<string, number>;
	/** Largest difference of normalised service between two teams, in units of the largest request's cost. */
	readonly gapMax: number;
	/** Share of the slot time allowed by the contracts that was used after the warm-up. */
	readonly utilisation: number;
	/** Greatest number of requests that ran at one target at a time. */
	readonly peakAtTarget: number;
	readonly messages: number;
	readonly started: number;
};

const SERVICE = 'tariff';
const TIMER_INTERVAL_MS = 10;
const LOAD_INTERVAL_MS = 500;
const SAMPLE_INTERVAL_MS = 50;
const COLD_PHASE_MS = 1000;

type Event = {readonly atMs: number; readonly order: number; readonly run: () => void};

/** Runs events in the order of their times. Events of the same time run in the order in which they were added. */
class Timeline {
	nowMs = 0;
	readonly #events: Event[] = [];
	#order = 0;

	at(delayMs: number, run: () => void): void {
		const event = {atMs: this.nowMs + delayMs, order: this.#order++, run};
		const index = this.#events.findLastIndex(other => other.atMs > event.atMs);
		this.#events.splice(index + 1, 0, event);
	}

	repeat(intervalMs: number, run: () => void): void {
		this.at(intervalMs, () => {
			run();
			this.repeat(intervalMs, run);
		});
	}

	runUntil(endMs: number): void {
		for (let event = this.#events.pop(); event && event.atMs <= endMs; event = this.#events.pop()) {
			this.nowMs = event.atMs;
			event.run();
		}
	}
}

/** Measures the service of each team, the fairness gap and the use of slots. */
class Measurement {
	readonly service: Map<string, number>;
	gapMax = 0;
	busyMs = 0;
	peakAtTarget = 0;
	started = 0;
	readonly #options: VirtualFleetOptions;
	readonly #running = new Set<{readonly team: string; readonly startMs: number}>();
	readonly #runningAt = new Map<string, number>();
	#baseline: ReadonlyMap<string, number> = new Map();

	constructor(options: VirtualFleetOptions) {
		this.#options = options;
		this.service = new Map(options.teams.map(team => [team.name, 0]));
	}

	runningAt(target: string): number {
		return this.#runningAt.get(target) ?? 0;
	}

	/** Records the start of a request; returns the function that ends it. */
	start(team: string, target: string, cost: number, nowMs: number): () => void {
		const {warmUpMs, durationMs} = this.#options;
		const run = {team, startMs: nowMs};
		this.#running.add(run);
		this.started++;
		this.#runningAt.set(target, this.runningAt(target) + 1);
		this.peakAtTarget = Math.max(this.peakAtTarget, this.runningAt(target));
		this.busyMs += Math.max(0, Math.min(nowMs + cost, durationMs) - Math.max(nowMs, warmUpMs));
		return () => {
			this.#running.delete(run);
			this.#runningAt.set(target, this.runningAt(target) - 1);
			this.service.set(team, (this.service.get(team) ?? 0) + cost);
		};
	}

	begin(nowMs: number): void {
		this.#baseline = this.#received(nowMs);
	}

	sample(nowMs: number): void {
		const {teams} = this.#options;
		const total = this.#received(nowMs);
		const largest = Math.max(...teams.map(team => team.cost[1]));
		const normalised = teams.map(({name, weight}) => ((total.get(name) ?? 0) - (this.#baseline.get(name) ?? 0)) / weight);
		this.gapMax = Math.max(this.gapMax, (Math.max(...normalised) - Math.min(...normalised)) / largest);
	}

	/** Returns the service by team. A running request counts with the time for which it has run. */
	#received(nowMs: number): ReadonlyMap<string, number> {
		const total = new Map(this.service);
		for (const {team, startMs} of this.#running) {
			total.set(team, (total.get(team) ?? 0) + nowMs - startMs);
		}

		return total;
	}
}

const nameOf = (dataCentre: number): string => `dc-${dataCentre}`;

const vmsOf = ({vms}: VirtualFleetOptions) => vms.flatMap((count, dataCentre) =>
	Array.from({length: count}, (_, index) => ({vm: `vm-${dataCentre}-${index}`, dataCentre: nameOf(dataCentre)})));

const configOf = ({teams, vms, targets, contract, tickMs}: VirtualFleetOptions) => fleetConfigSchema.parse({
	version: 1,
	teams: Object.fromEntries(teams.map(({name, weight}) => [name, {weight, maxQueued: 100_000}])),
	services: {[SERVICE]: {kind: 'model', maxCost: Math.max(...teams.map(team => team.cost[1]))}},
	dataCentres: Object.fromEntries(vms.map((_, index) => [nameOf(index), {}])),
	targets: Object.fromEntries(targets.flatMap((count, dataCentre) => Array.from({length: count}, (_, index) => [`target-${dataCentre}-${index}`, {
		service: SERVICE, dataCentre: nameOf(dataCentre), address: '127.0.0.1:1', contract,
	}]))),
	sharing: {tickMs},
});

/** Runs the fleet. The first VM of each data centre runs the dispatcher of its pool. */
export const runVirtualFleet = (options: VirtualFleetOptions): VirtualResult => {
	const random = xoroshiro128plus(options.seed);
	const timeline = new Timeline();
	const measurement = new Measurement(options);
	const config = configOf(options);
	const vms = vmsOf(options);
	const schedulers = new Map<string, ServiceDispatch>();
	const costs = new Map<string, number>();
	const estimators = new Map(vms.map(({vm}) => [vm, createCostEstimator()]));
	let messages = 0;
	let requests = 0;

	const dataCentreOf = (vm: string) => vms.find(item => item.vm === vm)?.dataCentre;
	const lastDataCentre = nameOf(options.vms.length - 1);
	const isPartitioned = (from: string, to: string): boolean => {
		const {partition} = options;
		return partition !== undefined && timeline.nowMs >= partition.fromMs && timeline.nowMs < partition.toMs
			&& (dataCentreOf(from) === lastDataCentre) !== (dataCentreOf(to) === lastDataCentre);
	};

	const deliver = (from: string, vm: string, part: FramePart) => {
		if (isPartitioned(from, vm)) {
			return;
		}

		const scheduler = schedulers.get(vm);
		const frame = create(FrameSchema, part);
		messages++;
		timeline.at(options.linkMs, () => {
			for (const report of frame.reports) {
				scheduler?.onReport(reportFromMessage(report), timeline.nowMs);
			}

			for (const allotment of frame.allotments) {
				scheduler?.onAllotment(allotmentFromMessage(allotment), timeline.nowMs);
			}

			for (const exchange of frame.exchanges) {
				scheduler?.onExchange(exchangeFromMessage(exchange), timeline.nowMs);
			}

			scheduler?.sendDueReport(timeline.nowMs);
		});
	};

	const submit = (vm: string, team: VirtualTeam) => {
		const cost = uniformInt(random, team.cost[0], team.cost[1]);
		const requestId = `${team.name}-${requests++}`;
		costs.set(requestId, cost);
		const scheduler = schedulers.get(vm);
		const estimatedCost = estimators.get(vm)!.estimate(team.name, SERVICE, {
			initial: (team.cost[0] + team.cost[1]) / 2, max: team.cost[1], hint: cost * (team.hintFactor ?? 1),
		});
		scheduler?.submit({
			requestId, team: team.name, service: SERVICE, estimatedCost, deadlineMs: Infinity,
		}, timeline.nowMs);
		scheduler?.sendDueReport(timeline.nowMs);
	};

	const carryOut = (vm: string, effect: MemberEffect) => {
		if (effect.kind !== 'start') {
			return;
		}

		const {request: {requestId, team}, grant} = effect;
		const cost = costs.get(requestId) ?? 0;
		const end = measurement.start(team, grant.target, cost, timeline.nowMs);
		timeline.at(cost, () => {
			end();
			estimators.get(vm)!.observe(team, SERVICE, cost, cost * (options.teams.find(({name}) => name === team)?.hintFactor ?? 1));
			const scheduler = schedulers.get(vm);
			scheduler?.end(grant, {
				kind: 'answered', cost, answerMs: cost, instance: 'a',
			}, timeline.nowMs);
			const sameTeam = options.teams.find(({name}) => name === team);
			if (sameTeam) {
				submit(vm, sameTeam);
			}
		});
	};

	const holderOf = (_service: string, dataCentre: string) => ({vm: vms.find(item => item.dataCentre === dataCentre)!.vm, epoch: 1});
	for (const {vm, dataCentre} of vms) {
		schedulers.set(vm, new ServiceDispatch({
			vm, dataCentre, incarnation: `${vm}:a`, service: SERVICE, policy: 'fleet', overrides: {}, log: silentLog,
			clock: {nowMs: () => timeline.nowMs},
			config: () => config,
			leases: {
				holderOf,
				ownEpoch: () => holderOf(SERVICE, dataCentre).vm === vm ? 1 : undefined,
				isHeldHere: () => holderOf(SERVICE, dataCentre).vm === vm,
				onChange: () => undefined,
			},
			links: {queue: () => undefined, flush: () => undefined, onFrame: () => undefined},
			aliveVms: () => vms.filter(item => item.dataCentre === dataCentre).map(item => item.vm),
			fleetSize: () => vms.length,
			send(to, part) {
				deliver(vm, to, part);
			},
			onEffects(effects) {
				for (const effect of effects) {
					carryOut(vm, effect);
				}
			},
		}));
	}

	for (const [index, {vm}] of vms.entries()) {
		timeline.at(index, () => {
			timeline.repeat(TIMER_INTERVAL_MS, () => {
				schedulers.get(vm)?.tick(timeline.nowMs);
				schedulers.get(vm)?.sendDueReport(timeline.nowMs);
			});
		});
	}

	timeline.repeat(LOAD_INTERVAL_MS, () => {
		for (const [target, {dataCentre}] of Object.entries(config.targets)) {
			schedulers.get(holderOf(SERVICE, dataCentre).vm)?.onLoadReport(target, {
				instance: 'a', running: measurement.runningAt(target), waiting: 0, cold: timeline.nowMs < COLD_PHASE_MS, leaving: false,
			}, timeline.nowMs);
		}
	});

	for (const team of options.teams) {
		for (const index of team.vms) {
			timeline.at(100, () => {
				for (let count = 0; count < team.concurrency; count++) {
					submit(vms[index]!.vm, team);
				}
			});
		}
	}

	timeline.at(options.warmUpMs, () => {
		measurement.begin(timeline.nowMs);
		timeline.repeat(SAMPLE_INTERVAL_MS, () => {
			measurement.sample(timeline.nowMs);
		});
	});
	timeline.runUntil(options.durationMs);
	const {service, gapMax, busyMs, peakAtTarget, started} = measurement;
	const slots = Object.keys(config.targets).length * options.contract.warmLimit;
	return {
		service, gapMax, peakAtTarget, messages, started, utilisation: busyMs / (slots * (options.durationMs - options.warmUpMs)),
	};
};
