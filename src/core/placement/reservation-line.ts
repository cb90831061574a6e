/**
 * Line of the reservation requests that wait for one model engine, kept by the engine's owner.
 *
 * Load pattern: more is asked than the engines can prefill. Without a line, the next free capacity
 * goes to whichever VM asks next: teams get starts in proportion to their attempts, and a large
 * prompt never finds the capacity that small ones take as it appears.
 */
import {type Reservation} from './reservation.js';

/** Most requests in a line. A longer one holds more than an engine prefills within a latency target. */
const MAX_WAITING = 64;
/** Milliseconds for which an engine counts as contended after its line was last in use. Under a lasting overload a line is empty for shorter times. */
const CONTENDED_MS = 500;
/** Share of the latency target within which a request from a line has to start. The rest is for network latency. */
const START_SHARE = 0.8;
/** Least share of the latency target for which a request may be in line: large prompts would be late even at an idle engine. */
const MIN_WAIT_SHARE = 0.3;

/** Milliseconds of earlier entry that weigh as much as a millisecond of shorter prefill, among the requests of one team. */
const PREFILL_WEIGHT = 0.2;

/** A request in line. Times are in milliseconds, on the owner's monotonic clock. */
export type InLine = {
	readonly reservation: Reservation;
	/** VM that sent the reservation request. */
	readonly vm: string;
	readonly enteredMs: number;
	/** Milliseconds that the prefill of its own prompt takes. */
	readonly ownPrefillMs: number;
	/** Time after which the request cannot be started in time. */
	readonly untilMs: number;
};

/** Returns the milliseconds after the arrival of a request until which it may start, or wait for its start. */
export const startWithinMs = ({targetLatencyMs}: Pick<Reservation, 'targetLatencyMs'>, ownPrefillMs: number): number =>
	Math.max(targetLatencyMs * MIN_WAIT_SHARE, (targetLatencyMs * START_SHARE) - ownPrefillMs);

/** Returns the reservation as it is now: it has waited longer than when it entered the line. */
export const presentReservation = ({reservation, enteredMs}: InLine, nowMs: number): Reservation =>
	({...reservation, waitedMs: reservation.waitedMs + nowMs - enteredMs});

/** Compares two requests. A resumed stream comes first, since its caller has received some of the response, then the more urgent request, then that of the team that was served less. */
const compare = (a: Reservation, b: Reservation, servedOf: (teamKey: number) => number): number =>
	Number(b.isResumed) - Number(a.isResumed) || a.priority - b.priority || servedOf(a.teamKey) - servedOf(b.teamKey);

/** Orders the requests of one team: a short prefill goes before a long one that has not waited for longer. More callers are served so, and large prompts are not shut out. */
const orderMs = ({enteredMs, ownPrefillMs}: InLine): number => enteredMs + (ownPrefillMs * PREFILL_WEIGHT);

export class ReservationLine {
	readonly #waiting = new Map<string, InLine>();
	#usedMs = -Infinity;

	get size(): number {
		return this.#waiting.size;
	}

	get isFull(): boolean {
		return this.size >= MAX_WAITING;
	}

	/** Whether requests are in line, or were a moment ago. */
	isContended(nowMs: number): boolean {
		return this.size > 0 || nowMs < this.#usedMs + CONTENDED_MS;
	}

	add(entry: InLine): void {
		this.#waiting.set(entry.reservation.id, entry);
	}

	/** Removes a request; returns whether it was in line. */
	remove(id: string, nowMs: number): boolean {
		if (!this.#waiting.delete(id)) {
			return false;
		}

		this.#usedMs = nowMs;
		return true;
	}

	/** Whether a request that arrives now would be the next to start. */
	isNext(reservation: Reservation, servedOf: (teamKey: number) => number): boolean {
		for (const {reservation: other} of this.#waiting.values()) {
			if (compare(other, reservation, servedOf) <= 0) {
				return false;
			}
		}

		return true;
	}

	/** Returns the requests in the order in which they start. */
	inOrder(servedOf: (teamKey: number) => number): readonly InLine[] {
		return [...this.#waiting.values()].toSorted((a, b) => compare(a.reservation, b.reservation, servedOf) || orderMs(a) - orderMs(b));
	}

	/** Returns the requests that cannot be started in time if the target takes the next one at `nextMs`. */
	tooLate(nextMs: number): readonly InLine[] {
		return [...this.#waiting.values()].filter(({untilMs}) => nextMs >= untilMs);
	}

	/** Predicts the milliseconds of prefill that start before a request: that of those with more precedence, of its own team, and of each other team until both have been served alike. */
	prefillAheadMs(reservation: Reservation, servedOf: (teamKey: number) => number, costOf: (reservation: Reservation) => number): number {
		const others = new Map<number, {cost: number; prefillMs: number}>();
		let aheadMs = 0;
		let ownCost = 0;
		for (const {reservation: other, ownPrefillMs} of this.#waiting.values()) {
			const rank = compare(other, reservation, () => 0);
			if (rank < 0 || (rank === 0 && other.teamKey === reservation.teamKey)) {
				aheadMs += ownPrefillMs;
				ownCost += rank < 0 ? 0 : costOf(other);
			} else if (rank === 0) {
				const {cost, prefillMs} = others.get(other.teamKey) ?? {cost: 0, prefillMs: 0};
				others.set(other.teamKey, {cost: cost + costOf(other), prefillMs: prefillMs + ownPrefillMs});
			}
		}

		const servedThen = servedOf(reservation.teamKey) + ownCost;
		for (const [teamKey, {cost, prefillMs}] of others) {
			aheadMs += prefillMs * Math.min(1, Math.max(0, servedThen - servedOf(teamKey)) / cost);
		}

		return aheadMs;
	}
}
