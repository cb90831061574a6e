/**
 * The reservations at the model engines that this VM owns: the ledger of each engine, and the line of the requests that
 * wait for it. While more is asked than an engine can do, the team that was served least goes next, and the engine's own
 * queue is kept short, since the engine prefills in order of arrival.
 */
import {hash32} from '../membership/rendezvous.js';
import {type RoutedService} from '../routing/types.js';
import {createDecayingSums} from './decaying-sums.js';
import {type OutgoingMessage, type PeerMessage} from './peer-messages.js';
import {promptCost} from './prompt-cost.js';
import {
	presentReservation, ReservationLine, startWithinMs, type InLine,
} from './reservation-line.js';
import {type Reservation, type ReservationAnswer} from './reservation.js';
import {CONTENDED_BACKLOG_MS, TargetLedger, type LedgerDecision} from './target-ledger.js';
import {type TargetView} from './target-view.js';

/** Least milliseconds in line for which a request is put there. A shorter wait hardly ever ends with a start. */
const MIN_QUEUED_MS = 10;
/** Returns what a request adds to what its team was served. */
const costOf = ({prompt}: Reservation): number => promptCost(prompt);

export type OwnedTargetsOptions = {
	readonly service: () => RoutedService;
	readonly targetOf: (id: string) => TargetView | undefined;
};

export class OwnedTargets {
	readonly #options: OwnedTargetsOptions;
	readonly #ledgers = new Map<string, TargetLedger>();
	/** Requests that wait for a target, by target. */
	readonly #lines = new Map<string, ReservationLine>();
	/** Cost of the granted requests of each team, by team key. */
	readonly #served = createDecayingSums();
	/** VMs whose requests wait for the prefill of a shared prefix, by grant id. */
	readonly #requesters = new Map<string, {readonly vm: string; readonly target: string}>();

	constructor(options: OwnedTargetsOptions) {
		this.#options = options;
	}

	/** Whether requests are in line for any target. */
	get hasLines(): boolean {
		for (const {size} of this.#lines.values()) {
			if (size > 0) {
				return true;
			}
		}

		return false;
	}

	/** Decides on a reservation request of a VM, which may be this one: grants it, puts it in line, or declines it. */
	decide(vm: string, reservation: Reservation, nowMs: number): ReservationAnswer {
		const line = this.#lines.get(reservation.target) ?? new ReservationLine();
		this.#lines.set(reservation.target, line);
		// An older VM does not name the team, so all of its requests count as those of one. A resumed stream is late already.
		const known = {...reservation, teamKey: reservation.teamKey || hash32(vm), ...(reservation.isResumed && {waitedMs: 0})};
		const isInTime = !known.isLate || !line.isContended(nowMs);
		const servedOf = this.#servedOf(nowMs);
		const {answer, aheadMs, ownPrefillMs} = this.#reserve(vm, known, {mayStart: isInTime && line.isNext(known, servedOf)}, nowMs);
		if (answer.isGranted) {
			return answer;
		}

		const turnMs = Math.max(0, aheadMs - CONTENDED_BACKLOG_MS) + line.prefillAheadMs(known, servedOf, costOf);
		const declined = {...answer, predictedMs: answer.predictedMs + turnMs};
		const untilMs = nowMs + startWithinMs(known, ownPrefillMs) - known.waitedMs;
		if (!known.mayWait || known.isLate || line.isFull || untilMs < nowMs + Math.max(MIN_QUEUED_MS, turnMs)) {
			return declined;
		}

		line.add({
			reservation: known, vm, enteredMs: nowMs, ownPrefillMs, untilMs,
		});
		return {...declined, queuedMs: untilMs - nowMs, hasLine: true};
	}

	/** Handles the first token or the end of a granted request. Returns the replies to requests that waited for its prefill; replies to requests of this VM are included. */
	onProgress({id, target, hasEnded, workPercent}: Extract<PeerMessage, {kind: 'progress'}>, nowMs: number): readonly OutgoingMessage[] {
		const ledger = this.#ledgers.get(target);
		this.#options.targetOf(target)?.noteWorkPercent(workPercent, nowMs);
		// A request whose owner replied too late was withdrawn, or placed without the owner.
		this.#lines.get(target)?.remove(id, nowMs);
		if (hasEnded) {
			this.#requesters.delete(id);
			ledger?.noteEnded(id, nowMs);
		} else {
			ledger?.noteFirstToken(id, nowMs);
		}

		return ledger ? [...this.#releaseMessages(ledger, nowMs), ...this.#serveLine(target, nowMs)] : [];
	}

	/** Starts the requests in line that may start now, and declines those that cannot be started in time any more. Returns the replies; those to requests of this VM are included. */
	serveLines(nowMs: number): readonly OutgoingMessage[] {
		return [...this.#lines.keys()].flatMap(target => this.#serveLine(target, nowMs));
	}

	/** Removes the state of a target that is gone or whose cache is lost. */
	forget(target: string): void {
		this.#ledgers.delete(target);
		this.#lines.delete(target);
		for (const [id, requester] of this.#requesters) {
			if (requester.target === target) {
				this.#requesters.delete(id);
			}
		}
	}

	/** Admits a request to the ledger of its target if the target can take it now. */
	#reserve(vm: string, reservation: Reservation, {mayStart}: {readonly mayStart: boolean}, nowMs: number): LedgerDecision {
		const {service, targetOf} = this.#options;
		const target = targetOf(reservation.target);
		const ledger = this.#ledgers.get(reservation.target)
			?? new TargetLedger(reservation.target, {capacityTokens: () => service().engine?.kvCapacityTokens ?? 0, nowMs});
		this.#ledgers.set(reservation.target, ledger);
		const decision = ledger.reserve(reservation, {
			service: service(), slots: target?.record.slots ?? 0, observedRunning: target ? target.running + target.othersRunning(nowMs) : 0, slowdown: target?.slowdown(nowMs) ?? 1,
			isContended: this.#lines.get(reservation.target)?.isContended(nowMs) ?? false, mayStart, nowMs,
		});
		if (decision.answer.isGranted) {
			this.#served.add(String(reservation.teamKey), costOf(reservation), nowMs);
			if (decision.answer.startAfterMs > 0) {
				this.#requesters.set(reservation.id, {vm, target: reservation.target});
			}
		}

		return decision;
	}

	#servedOf(nowMs: number): (teamKey: number) => number {
		return teamKey => this.#served.of(String(teamKey), nowMs);
	}

	#serveLine(target: string, nowMs: number): readonly OutgoingMessage[] {
		const line = this.#lines.get(target);
		if (!line || line.size === 0) {
			return [];
		}

		const replyTo = ({reservation: {id}, vm}: InLine, answer: ReservationAnswer): OutgoingMessage => {
			line.remove(id, nowMs);
			return {vm, message: {kind: 'answer', id, answer}};
		};

		const replies: OutgoingMessage[] = [];
		const [first] = line.inOrder(this.#servedOf(nowMs));
		const decide = (entry: InLine): LedgerDecision => this.#reserve(entry.vm, presentReservation(entry, nowMs), {mayStart: false}, nowMs);
		const nextMs = nowMs + (first ? Math.max(0, decide(first).aheadMs - CONTENDED_BACKLOG_MS) : 0);
		for (const entry of line.tooLate(nextMs)) {
			replies.push(replyTo(entry, decide(entry).answer));
		}

		for (let granted = this.#startNext(line, nowMs); granted; granted = this.#startNext(line, nowMs)) {
			replies.push(replyTo(granted.entry, granted.answer));
		}

		return replies;
	}

	/**
	 * Admits the first request in line that its target can take now. Where slots or memory are missing for a request, those
	 * of other teams behind it do not get them, or large prompts never would; smaller ones of its own team may.
	 */
	#startNext(line: ReservationLine, nowMs: number): {readonly entry: InLine; readonly answer: ReservationAnswer} | undefined {
		let blocking: Reservation | undefined;
		for (const entry of line.inOrder(this.#servedOf(nowMs))) {
			const {teamKey, givesWay} = entry.reservation;
			if (blocking && teamKey !== blocking.teamKey && (givesWay || !blocking.givesWay)) {
				continue;
			}

			const {fit, answer} = this.#reserve(entry.vm, presentReservation(entry, nowMs), {mayStart: true}, nowMs);
			if (fit === 'fits') {
				return {entry, answer};
			}

			if (fit === 'backlog') {
				return undefined;
			}

			if (fit === 'no-capacity') {
				blocking ??= entry.reservation;
			}
		}

		return undefined;
	}

	#releaseMessages(ledger: TargetLedger, nowMs: number): readonly OutgoingMessage[] {
		return [...ledger.takeReleased(nowMs)].flatMap(([id, answer]) => {
			const vm = this.#requesters.get(id)?.vm;
			this.#requesters.delete(id);
			return vm === undefined ? [] : [{vm, message: {kind: 'answer', id, answer}} as const];
		});
	}
}
