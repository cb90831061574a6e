/**
 * Plays a fleet of VMs and model engines in virtual time: requests with a guilty prompt part end
 * engines, and beside them engines end by themselves, connections are reset, VMs start anew and
 * reports are lost. Only the quarantine and the schedule of reports are the product's.
 */
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {pickByRendezvous} from '../../src/core/membership/rendezvous.js';
import {planExchange} from '../../src/core/placement/exchange-plan.js';
import {MIN_SOUND_ANSWER_MS, Quarantine} from '../../src/core/quarantine/quarantine.js';
import {type QuarantineEffect, type QuarantineMessage} from '../../src/core/quarantine/types.js';

const STEP_MS = 5;
/** The users' `contact_ms`. */
const CONTACT_MS = 3000;
const COUNTED_ENDS = 5;
const SPREAD_INTERVAL_MS = 100;
const MAX_ATTEMPTS = 2;
const RESTART_MS = 4000;
/** Milliseconds from an end to the expiry of the engine's entry: three heartbeats and a little. */
const EXPIRY_MS = 3800;

export type FleetPlan = {
	readonly vms: number;
	readonly engines: number;
	readonly soundPerS: number;
	/** Rates of the requests with each guilty part. */
	readonly guiltyPerS: readonly number[];
	readonly forMs: number;
	/** Share of the reports that is lost. */
	readonly lostShare: number;
	/** Times at which a third of the engines ends by itself. */
	readonly massEndsMs?: readonly number[];
	/** Times at which all connections of one VM are reset. */
	readonly resetsMs?: readonly number[];
	/** Times at which three VMs start anew; they know the verdicts of the store from the first request on. */
	readonly restartsMs?: readonly number[];
	/** Times from which requests with a new sound part come, ten a second each. */
	readonly newPartsMs?: readonly number[];
	/** Single engines that end by themselves in each second, on average. */
	readonly randomEndsPerS?: number;
};

export type FleetOutcome = {
	/** Engines that requests with the guilty parts ended. */
	readonly ends: number;
	/** Requests with a guilty part that reached engines later than `CONTACT_MS` after the fifth end by that part; the largest over the parts. */
	readonly late: number;
	/** Sound parts that a VM condemned. */
	readonly falseVerdicts: readonly string[];
	/** Sound requests that were refused. */
	readonly refusedSound: number;
	/** Milliseconds from the first end by a guilty part until the last VM has condemned it; undefined if one has not. */
	readonly knownAfterMs: number | undefined;
};

type Engine = {index: number; id: string; bornMs: number; isAlive: boolean; backMs: number};
type Running = {
	readonly vm: number; readonly id: string; readonly parts: readonly string[]; readonly guilty: number | undefined; readonly breaks: number; readonly tried: readonly string[];
	readonly engine: Engine; readonly firstMs: number; readonly endMs: number; isSound: boolean;
};
type Timed = {readonly atMs: number; readonly run: () => void};

const guiltyPart = (index: number): string => `guilty-${index}`;

export const playFleet = (seed: number, plan: FleetPlan): FleetOutcome => {
	const rng = xoroshiro128plus(seed);
	const random = (): number => uniformInt(rng, 0, 999_999) / 1_000_000;
	const between = (low: number, high: number): number => low + (random() * (high - low));
	const names = Array.from({length: plan.vms}, (_, index) => `vm-${index}`);
	const vms = names.map(name => new Quarantine(name));
	const engines: Engine[] = Array.from({length: plan.engines}, (_, index) => ({
		index, id: `e${index}-0`, bornMs: 0, isAlive: true, backMs: 0,
	}));
	const exchange = planExchange(plan.vms - 1);
	const running = new Set<Running>();
	let timed: Timed[] = [];
	let nowMs = 0;
	let requests = 0;
	let processes = 0;
	let refusedSound = 0;
	const nextSpreadMs = names.map(() => -Infinity);
	const falseVerdicts = new Set<string>();
	const endTimes = plan.guiltyPerS.map((): number[] => []);
	const arrivalTimes = plan.guiltyPerS.map((): number[] => []);
	const condemnedBy = plan.guiltyPerS.map(() => new Map<number, number>());

	const later = (ms: number, run: () => void): void => {
		timed.push({atMs: nowMs + ms, run});
	};

	/** Sends a report to some VMs in turn, or to one. */
	const sendReport = (vm: number, only?: number): void => {
		const report = vms[vm]!.report(nowMs);
		const message = only === undefined ? report : {ends: [], sound: report.sound, verdicts: []};
		if (message.ends.length + message.sound.length + message.verdicts.length === 0) {
			return;
		}

		const first = uniformInt(rng, 1, plan.vms - 1);
		const others = Array.from({length: exchange.peersPerReport}, (_, index) => (vm + 1 + ((first + index) % (plan.vms - 1))) % plan.vms);
		for (const to of only === undefined ? others : [only]) {
			if (random() >= plan.lostShare) {
				later(between(1, STEP_MS), () => {
					tell(to, {kind: 'reported', from: names[vm]!, report: message});
				});
			}
		}
	};

	const note = (vm: number, effects: readonly QuarantineEffect[]): void => {
		for (const effect of effects) {
			if (effect.kind === 'spread' && !exchange.isFullMesh && nowMs >= nextSpreadMs[vm]!) {
				nextSpreadMs[vm] = nowMs + SPREAD_INTERVAL_MS;
				sendReport(vm);
			}

			if (effect.kind === 'reply' && !exchange.isFullMesh) {
				sendReport(vm, names.indexOf(effect.to));
			}

			if (effect.kind === 'condemned') {
				const guilty = plan.guiltyPerS.findIndex((_, index) => guiltyPart(index) === effect.part);
				if (guilty === -1) {
					falseVerdicts.add(effect.part);
				} else if (!condemnedBy[guilty]!.has(vm)) {
					condemnedBy[guilty]!.set(vm, nowMs);
				}
			}
		}
	};

	const tell = (vm: number, message: QuarantineMessage): void => {
		note(vm, vms[vm]!.handle(message, nowMs));
	};

	type Wish = Pick<Running, 'vm' | 'id' | 'parts' | 'guilty' | 'breaks' | 'tried'>;
	const place = (wish: Wish): void => {
		const {vm, parts, guilty} = wish;
		if (vms[vm]!.judge(parts, () => false, nowMs).kind === 'refuse') {
			refusedSound += guilty === undefined ? 1 : 0;
			return;
		}

		const known = engines.filter(({id}) => !wish.tried.includes(id));
		const key = vms[vm]!.suspectedPart(parts, nowMs);
		const alive = known.filter(({isAlive}) => isAlive);
		const chosenId = key === undefined ? undefined : pickByRendezvous(key, alive.map(({id}) => id));
		const engine = chosenId === undefined ? known[uniformInt(rng, 0, known.length - 1)]! : alive.find(({id}) => id === chosenId)!;
		if (!engine.isAlive) {
			tell(vm, {kind: 'unreachable', target: engine.id, bornMs: engine.bornMs});
			if (alive.length > 0) {
				later(between(5, 30), () => {
					place({...wish, tried: [...wish.tried, engine.id]});
				});
			}

			return;
		}

		if (guilty !== undefined) {
			arrivalTimes[guilty]!.push(nowMs);
		}

		const firstMs = nowMs + between(30, 300);
		running.add({
			...wish, tried: [...wish.tried, engine.id], engine, firstMs, endMs: firstMs + (guilty === undefined ? between(100, 2500) : between(20, 120)), isSound: false,
		});
	};

	const breakCalls = (calls: readonly Running[]): void => {
		for (const call of calls) {
			running.delete(call);
			const {vm, id, parts, engine, isSound, breaks} = call;
			if (!isSound) {
				tell(vm, {
					kind: 'broke', requestId: id, parts, target: engine.id, bornMs: engine.bornMs,
				});
			}

			if (call.tried.length < MAX_ATTEMPTS && breaks + 1 < 2) {
				later(between(1, 30), () => {
					place({...call, breaks: breaks + 1});
				});
			}
		}
	};

	const endEngine = (engine: Engine, guilty?: number): void => {
		if (!engine.isAlive) {
			return;
		}

		const {id, bornMs} = engine;
		engine.isAlive = false;
		engine.backMs = nowMs + between(RESTART_MS / 2, RESTART_MS);
		if (guilty !== undefined) {
			endTimes[guilty]!.push(nowMs);
		}

		const calls = [...running].filter(call => call.engine === engine);
		const observers = new Set(calls.map(({vm}) => vm));
		breakCalls(calls);
		for (const vm of observers) {
			tell(vm, {kind: 'unreachable', target: id, bornMs});
		}

		later(EXPIRY_MS + between(0, 1200), () => {
			for (const [vm] of vms.entries()) {
				tell(vm, {kind: 'entry-gone', target: id, bornMs});
			}
		});
	};

	const arrive = (shared: readonly string[], guilty?: number): void => {
		requests++;
		place({
			vm: uniformInt(rng, 0, plan.vms - 1), id: `r${requests}`, parts: shared, guilty, breaks: 0, tried: [],
		});
	};

	const subject = (): string => `subject-${uniformInt(rng, 0, 59)}`;
	const happens = (perS: number): boolean => random() < perS * STEP_MS / 1000;
	const isDue = (times: readonly number[] | undefined): boolean => times?.some(atMs => atMs >= nowMs && atMs < nowMs + STEP_MS) === true;

	const report = (vm: number): void => {
		sendReport(vm);
		later(exchange.periodMs, () => {
			report(vm);
		});
	};

	for (const [vm] of vms.entries()) {
		later(between(0, exchange.periodMs), () => {
			report(vm);
		});
	}

	const step = (): void => {
		const due = timed.filter(({atMs}) => atMs <= nowMs);
		timed = timed.filter(({atMs}) => atMs > nowMs);
		for (const {run} of due) {
			run();
		}

		for (const engine of engines.filter(({isAlive, backMs}) => !isAlive && backMs <= nowMs)) {
			processes++;
			Object.assign(engine, {id: `e${engine.index}-${processes}`, bornMs: Math.round(nowMs), isAlive: true});
		}

		const soundPerStep = plan.soundPerS * STEP_MS / 1000;
		for (let count = 0; count < soundPerStep; count++) {
			if (random() < Math.min(1, soundPerStep - count)) {
				arrive(['route', subject()]);
			}
		}

		for (const [index, atMs] of (plan.newPartsMs ?? []).entries()) {
			if (nowMs >= atMs && happens(10)) {
				arrive(['route', `new-${index}`]);
			}
		}

		// The guilty requests begin once sound ones have been answered for a while.
		for (const [guilty, perS] of plan.guiltyPerS.entries()) {
			if (nowMs > 3000 && happens(perS)) {
				arrive(['route', guiltyPart(guilty), ...(random() < 0.5 ? [subject()] : [])], guilty);
			}
		}

		for (const call of running) {
			const {vm, parts, guilty, engine} = call;
			if (running.has(call) && guilty !== undefined && nowMs >= call.endMs) {
				endEngine(engine, guilty);
			} else if (running.has(call) && guilty === undefined) {
				if (!call.isSound && (nowMs >= call.endMs || nowMs >= call.firstMs + MIN_SOUND_ANSWER_MS)) {
					call.isSound = true;
					tell(vm, {kind: 'answered', team: 'team', parts});
				}

				if (nowMs >= call.endMs) {
					running.delete(call);
					tell(vm, {
						kind: 'alive', target: engine.id, bornMs: engine.bornMs, sentMs: call.firstMs - 300,
					});
				}
			}
		}

		for (const [vm, quarantine] of vms.entries()) {
			if (quarantine.isVerdictDue) {
				tell(vm, {kind: 'tick'});
			}
		}

		if (isDue(plan.massEndsMs)) {
			for (const engine of engines.filter(({index}) => index % 3 === 0)) {
				endEngine(engine);
			}
		}

		if (happens(plan.randomEndsPerS ?? 0)) {
			endEngine(engines[uniformInt(rng, 0, engines.length - 1)]!);
		}

		if (isDue(plan.resetsMs)) {
			const vm = uniformInt(rng, 0, plan.vms - 1);
			breakCalls([...running].filter(call => call.vm === vm));
			for (const {id, bornMs, isAlive} of engines) {
				if (isAlive) {
					tell(vm, {kind: 'unreachable', target: id, bornMs});
				}
			}
		}

		if (isDue(plan.restartsMs)) {
			const stored = plan.guiltyPerS.map((_, guilty) => guiltyPart(guilty)).filter((_, guilty) => condemnedBy[guilty]!.size > 0);
			for (let vm = 0; vm < Math.min(3, plan.vms); vm++) {
				vms[vm] = new Quarantine(names[vm]!);
				tell(vm, {kind: 'stored', verdicts: stored.map(part => ({part, checks: 0}))});
			}
		}
	};

	for (; nowMs < plan.forMs; nowMs += STEP_MS) {
		step();
	}

	const lateOf = (guilty: number): number => {
		const fifthMs = endTimes[guilty]![COUNTED_ENDS - 1] ?? Infinity;
		return arrivalTimes[guilty]!.filter(atMs => atMs > fifthMs + CONTACT_MS).length;
	};

	const isKnown = condemnedBy.every(times => times.size === plan.vms);
	return {
		ends: endTimes.reduce((sum, times) => sum + times.length, 0),
		late: Math.max(0, ...plan.guiltyPerS.map((_, guilty) => lateOf(guilty))),
		falseVerdicts: [...falseVerdicts],
		refusedSound,
		knownAfterMs: isKnown && plan.guiltyPerS.length > 0
			? Math.round(Math.max(...condemnedBy.map((times, guilty) => Math.max(...times.values()) - (endTimes[guilty]![0] ?? 0))))
			: undefined,
	};
};
