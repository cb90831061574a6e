/** Simulates a VM with admission control whose process may run for a share of each scheduling cycle. */
import {createAdmissionControl, type AdmissionControl} from '../../src/core/admission/admission-control.js';

/** Actual CPU time of each kind of work, in milliseconds. */
export type TrueCosts = {
	readonly admittedMs: number;
	readonly refusedMs: number;
	/** Cost of one event of a response. */
	readonly eventMs: number;
	/** Cost of the process itself, every 25 ms. */
	readonly idleMs: number;
};

export type Arrival = {readonly atMs: number; readonly team: string};

export type AnsweredArrival = Arrival & {
	/** Time at which the caller received its response or the first chunk of it. */
	readonly answeredMs: number;
	readonly isAdmitted: boolean;
};

export type FloodedVm = {
	readonly processorShare: number;
	readonly costs: TrueCosts;
	/** Number of events of a response, and milliseconds between them. */
	readonly events: number;
	readonly gapMs: number;
	/** Start and end of each interval in which the process is paused. */
	readonly pauses?: ReadonlyArray<readonly [number, number]>;
};

const CYCLE_MS = 100;
const HOUSEKEEPING_MS = 25;

/** Returns the arrivals of one team at even intervals. */
export const arrivalsOf = (team: string, perS: number, [fromMs, toMs]: readonly [number, number]): readonly Arrival[] =>
	Array.from({length: Math.floor((toMs - fromMs) * perS / 1000)}, (_, index) => ({atMs: fromMs + ((index + 0.5) * 1000 / perS), team}));

type Work = {readonly atMs: number; readonly costMs: number};

/** Simulates the VM with the given arrivals. Work runs in the order of its times, one item at a time. */
export const runFlood = ({processorShare, costs, events, gapMs, pauses = []}: FloodedVm, arrivals: readonly Arrival[], budget: number | undefined = processorShare): {
	readonly answered: readonly AnsweredArrival[]; readonly admissionControl: AdmissionControl; readonly busyShare: (fromMs: number, toMs: number) => number;
} => {
	const waiting = arrivals.toSorted((a, b) => a.atMs - b.atMs);
	const endMs = (waiting.at(-1)?.atMs ?? 0) + 3000;
	const works: Work[] = Array.from({length: Math.floor(endMs / HOUSEKEEPING_MS)}, (_, index) => ({atMs: index * HOUSEKEEPING_MS, costMs: costs.idleMs}));
	const answered: AnsweredArrival[] = [];
	const used: Array<readonly [number, number]> = [];
	let nowMs = 0;
	let usedMs = 0;
	let idleMs = 0;
	let open = 0;
	const endTimesMs: number[] = [];

	const runnableFrom = (atMs: number): number => {
		const pause = pauses.find(([from, to]) => atMs >= from && atMs < to);
		if (pause) {
			return runnableFrom(pause[1]);
		}

		const inCycle = atMs % CYCLE_MS;
		return inCycle < (processorShare * CYCLE_MS) - 1e-6 ? atMs : runnableFrom(atMs - inCycle + CYCLE_MS);
	};

	const work = (costMs: number): void => {
		let left = costMs;
		while (left > 1e-9) {
			nowMs = runnableFrom(nowMs);
			const piece = Math.min(left, (processorShare * CYCLE_MS) - (nowMs % CYCLE_MS));
			nowMs += piece;
			usedMs += piece;
			left -= piece;
		}

		used.push([nowMs, usedMs]);
	};

	const admissionControl = createAdmissionControl({
		processorShare: budget, processors: 1, usedMs: () => usedMs, idleMs: () => idleMs, open: () => open,
	});
	works.sort((a, b) => a.atMs - b.atMs);
	let nextWork = 0;
	let nextArrival = 0;
	for (let arrival = waiting[nextArrival]; arrival; arrival = waiting[nextArrival]) {
		const due = works[nextWork];
		const nextMs = Math.min(due?.atMs ?? Infinity, arrival.atMs);
		idleMs += Math.max(0, nextMs - nowMs);
		nowMs = runnableFrom(Math.max(nowMs, nextMs));
		while (endTimesMs[0] !== undefined && endTimesMs[0] <= nowMs) {
			endTimesMs.shift();
			open--;
		}

		if (due && due.atMs <= arrival.atMs) {
			nextWork++;
			admissionControl.tick(nowMs);
			work(due.costMs);
			continue;
		}

		nextArrival++;
		const isAdmitted = admissionControl.admit(arrival.team, nowMs);
		work(isAdmitted ? costs.admittedMs : costs.refusedMs);
		answered.push({...arrival, answeredMs: nowMs, isAdmitted});
		if (isAdmitted) {
			open++;
			endTimesMs.push(nowMs + (events * gapMs));
			endTimesMs.sort((a, b) => a - b);
			for (let event = 1; event <= events; event++) {
				works.push({atMs: nowMs + (event * gapMs), costMs: costs.eventMs});
			}

			const rest = works.splice(nextWork).toSorted((a, b) => a.atMs - b.atMs);
			works.push(...rest);
		}
	}

	const usedAt = (atMs: number): number => used.findLast(([time]) => time <= atMs)?.[1] ?? 0;
	return {answered, admissionControl, busyShare: (fromMs, toMs) => (usedAt(toMs) - usedAt(fromMs)) / (toMs - fromMs) / processorShare};
};

/** Returns the longest time that a caller waited for its response, in milliseconds. */
export const longestWaitMs = (answered: readonly AnsweredArrival[]): number => Math.max(0, ...answered.map(({atMs, answeredMs}) => answeredMs - atMs));

/** Returns the share of a team's requests that was admitted. */
export const admittedShare = (answered: readonly AnsweredArrival[], team: string): number => {
	const own = answered.filter(answer => answer.team === team);
	return own.filter(({isAdmitted}) => isAdmitted).length / own.length;
};
