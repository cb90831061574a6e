/**
 * Carries out the roll-out of one service: the steps of its row, one write at a time, each
 * under the condition that neither the row nor the order has changed. Forward only by a row
 * that was written; back at once, by an announcement before the write.
 *
 * Several VMs may run one of these; whoever loses a write reads the row before anything
 * else. After a pause of its process it reads too, and announces nothing until it has.
 */
import {Alarm, type Verdict} from './alarm.js';
import {responsesOf} from './counts.js';
import {EvidenceSum} from './evidence-sum.js';
import {
	boostedShare, nextShare, scheduleOf, stepMsAt, trialShareOf,
} from './schedule.js';
import {
	type EvidenceReport, type ExposureBounds, type TimedRolloutOrder, type RolloutPhase, type RolloutReason, type RolloutState, type RolloutWrite, type RolloutWriteResult, type StoredRolloutState,
} from './types.js';

/** Responses of the new version without which traffic does not move, and of these with times that count: what a service of 100 requests/s shows in a trial of four seconds, with warm targets for half of it. */
const MIN_RESPONSES = 12;
const MIN_TIMED = 5;
/** Multiple of these that a trial aims at where a larger share is needed for it. */
const BOOST_FACTOR = 3;
/** Responses of the new version that a step has to show before the next. */
const MIN_STEP_RESPONSES = 6;
/** Milliseconds between looks above which this process stood still. */
const GAP_MS = 600;
/** Milliseconds without an answer of the store after which another VM takes over and announcements are not renewed here: some tries more than a slow store needs. */
const STORE_LOST_MS = 500;
/** Milliseconds within which a VM in reach has sent evidence, with a report lost. */
const HEARD_MS = 1500;
/** Part of the VMs that have to be in reach. */
const MIN_HEARD_SHARE = 0.5;
/** Milliseconds from being chosen until VMs have begun to report here. */
const GATHER_MS = 2000;
/** Milliseconds between calls to the store after one that failed. */
const RETRY_MS = 200;
/** Part of the exposure bound above which a version in doubt is rolled back: what is under way and what other VMs send until they hear of it comes on top. */
const DOUBTFUL_EXPOSURE = 0.4;
/** Slots of the new version against those of the old one below which more than the first part of the traffic does not move. */
const MIN_SLOT_SHARE = 0.4;
/** Milliseconds for which the new version has to be without targets until it is given up, once it had some. */
const NO_TARGET_MS = 1000;
/** Milliseconds after which no VM acts on an older announcement any more, with a margin. */
const STALE_AFTER_MS = 3000;

/** What the VM knows at a look, besides evidence. */
export type CoordinatorInputs = {
	/** Whether this VM coordinates. */
	readonly isCoordinator: boolean;
	/** The order in force; undefined when there is none. */
	readonly order: TimedRolloutOrder | undefined;
	/** Versions that the service had before the order, as this VM knows them. */
	readonly before: readonly string[];
	/** Usable targets of the new version, and slots of both. */
	readonly newTargets: number;
	readonly newSlots: number;
	readonly oldSlots: number;
	readonly vms: number;
	/** Whether another coordinator holds the new version back at that revision. */
	readonly heldRevision: number | undefined;
	readonly wallMs: number;
};

export type CoordinatorMessage =
	| {readonly kind: 'look'; readonly facts: CoordinatorInputs}
	| {readonly kind: 'evidence'; readonly vm: string; readonly report: EvidenceReport; readonly vms: number}
	/** The row was read; `stored` is undefined when there is none. */
	| {readonly kind: 'read'; readonly stored: StoredRolloutState | undefined}
	| {readonly kind: 'read-failed'}
	| RolloutWriteResult;

export type CoordinatorEffect =
	| {readonly kind: 'read'}
	| {readonly kind: 'write'; readonly write: RolloutWrite}
	/** Another VM had better coordinate: the store or most VMs are out of reach here. */
	| {readonly kind: 'step-down'}
	/** Renews the announcement of a row that was written. */
	| {readonly kind: 'announce'; readonly stored: StoredRolloutState; readonly isHeld: boolean}
	| {readonly kind: 'log'; readonly write: RolloutWrite; readonly verdict: Verdict; readonly responses: number; readonly runningBefore: number};

type Step = {readonly phase: RolloutPhase; readonly reason: RolloutReason; readonly share: number};

type Row = {readonly state: RolloutState | undefined; readonly revision: number};

const isFinal = (phase: RolloutPhase): boolean => phase === 'completed' || phase === 'rolled-back';

export class RolloutCoordinator {
	readonly #bounds: ExposureBounds;
	readonly #sum = new EvidenceSum();
	#alarm = new Alarm();
	#verdict: Verdict = {alarm: undefined, isGood: true, score: 0};
	#row: Row | undefined;
	#call: 'read' | RolloutWrite | undefined;
	#lookedMs = -Infinity;
	#notBeforeMs = -Infinity;
	/** When calls to the store began to fail. */
	#failingSinceMs: number | undefined;
	#wasChosen = false;
	/** When it was chosen, or went on after a pause. */
	#chosenMs = 0;
	/** The call under way began before a pause: what it answers may be out of date. */
	#isCallStale = false;
	#stepMs = 0;
	#stepResponses = 0;
	#hadTargetsMs: number | undefined;
	/** Order whose evidence is summed. */
	#orderOfEvidence = 0;
	/** Why the new version is held back. */
	#held: RolloutReason | undefined;

	constructor(bounds: ExposureBounds) {
		this.#bounds = bounds;
	}

	handle(message: CoordinatorMessage, nowMs: number): readonly CoordinatorEffect[] {
		switch (message.kind) {
			case 'look': {
				return this.#look(message.facts, nowMs);
			}

			case 'evidence': {
				this.#sum.take(message.vm, message.report, {vms: message.vms, nowMs});
				return [];
			}

			case 'read': {
				this.#call = undefined;
				this.#failingSinceMs = undefined;
				if (this.#takeStale()) {
					return [];
				}

				this.#enter({state: message.stored?.state, revision: message.stored?.revision ?? 0}, nowMs);
				return [];
			}

			case 'written': {
				const write = this.#call;
				this.#call = undefined;
				this.#failingSinceMs = undefined;
				const isStale = this.#takeStale();
				if (!isStale && write !== undefined && write !== 'read') {
					this.#enter({state: write.state, revision: message.revision}, nowMs);
				}

				return [];
			}

			case 'conflict': {
				this.#call = undefined;
				this.#isCallStale = false;
				this.#row = undefined;
				return [];
			}

			case 'read-failed':
			case 'not-written': {
				return this.#onFailed(nowMs);
			}

			case 'maybe-written': {
				// Only the row itself tells whether it was.
				this.#row = undefined;
				return this.#onFailed(nowMs);
			}
		}
	}

	#takeStale(): boolean {
		const isStale = this.#isCallStale;
		this.#isCallStale = false;
		return isStale;
	}

	#responses(): number {
		return responsesOf(this.#sum.total.next);
	}

	#onFailed(nowMs: number): readonly CoordinatorEffect[] {
		this.#call = undefined;
		this.#isCallStale = false;
		this.#notBeforeMs = nowMs + RETRY_MS;
		this.#failingSinceMs ??= nowMs;
		return [];
	}

	#enter(row: Row, nowMs: number): void {
		const isNew = row.revision !== this.#row?.revision;
		this.#row = row;
		if (row.state && row.state.order !== this.#orderOfEvidence) {
			this.#startOrder(row.state.order);
		}

		if (isNew) {
			this.#stepMs = nowMs;
			this.#stepResponses = this.#responses();
			this.#sum.startStep(row.revision);
		}
	}

	#startOrder(order: number): void {
		this.#orderOfEvidence = order;
		this.#sum.startOrder(order);
		this.#alarm = new Alarm();
		this.#verdict = {alarm: undefined, isGood: true, score: 0};
		this.#held = undefined;
		this.#hadTargetsMs = undefined;
	}

	#look(facts: CoordinatorInputs, nowMs: number): readonly CoordinatorEffect[] {
		const hasGap = nowMs - this.#lookedMs > GAP_MS;
		this.#lookedMs = nowMs;
		if (!facts.isCoordinator) {
			this.#wasChosen = false;
			this.#row = undefined;
			return [];
		}

		if (!this.#wasChosen || hasGap) {
			this.#wasChosen = true;
			this.#chosenMs = nowMs;
			this.#row = undefined;
			this.#isCallStale = this.#call !== undefined;
		}

		if (facts.newTargets > 0) {
			this.#hadTargetsMs = nowMs;
		}

		const handOver = this.#stepDown(facts, nowMs);
		if (!this.#row) {
			return [...handOver, ...this.#read(nowMs)];
		}

		this.#verdict = this.#alarm.judge(this.#sum.routes);
		const write = this.#call === undefined && nowMs >= this.#notBeforeMs ? this.#nextWrite(this.#row, facts, nowMs) : undefined;
		return [...handOver, ...this.#announce(nowMs), ...(write ? this.#write(write) : [])];
	}

	#read(nowMs: number): readonly CoordinatorEffect[] {
		if (this.#call !== undefined || nowMs < this.#notBeforeMs) {
			return [];
		}

		this.#call = 'read';
		return [{kind: 'read'}];
	}

	#write(write: RolloutWrite): readonly CoordinatorEffect[] {
		this.#call = write;
		return [{kind: 'write', write}, {
			kind: 'log', write, verdict: this.#verdict, responses: this.#responses(), runningBefore: this.#sum.runningBefore,
		}];
	}

	#isStoreLost(nowMs: number): boolean {
		return this.#failingSinceMs !== undefined && nowMs - this.#failingSinceMs > STORE_LOST_MS;
	}

	/** If no VM is better off this one goes on, since its rank brings it back. */
	#stepDown({vms}: CoordinatorInputs, nowMs: number): readonly CoordinatorEffect[] {
		const isAlone = nowMs - this.#chosenMs > GATHER_MS && this.#row !== undefined && this.#sum.heardSince(nowMs - HEARD_MS) < vms * MIN_HEARD_SHARE;
		return isAlone || this.#isStoreLost(nowMs) ? [{kind: 'step-down'}] : [];
	}

	#announce(nowMs: number): readonly CoordinatorEffect[] {
		const row = this.#row;
		return row?.state && !this.#isStoreLost(nowMs)
			? [{kind: 'announce', stored: {state: row.state, revision: row.revision}, isHeld: this.#held !== undefined && !isFinal(row.state.phase)}]
			: [];
	}

	/** The write that the row needs now. Also decides whether the new version is held back. */
	#nextWrite({state, revision}: Row, facts: CoordinatorInputs, nowMs: number): RolloutWrite | undefined {
		const {order} = facts;
		if (!state || (order && order.version > state.order)) {
			return order && this.#begin(order, {state, revision}, facts);
		}

		if (isFinal(state.phase) || (order && order.version < state.order)) {
			return undefined;
		}

		const to = (phase: RolloutPhase, reason: RolloutReason, share = state.share): RolloutWrite => ({
			order: order?.version ?? 0, expected: revision, reason, state: {
				...state, phase, share, counter: state.counter + 1, ...(phase === 'rolled-back' && {refused: [...new Set([...state.refused, state.to])]}),
			},
		});
		if (!order) {
			return to('rolled-back', this.#hold('order-removed'), 0);
		}

		if (state.before.includes(state.to)) {
			const isLate = nowMs - order.orderedMs >= scheduleOf(order.durationMs).endMs;
			return isLate || this.#isDrained(facts, nowMs, STALE_AFTER_MS) ? to('completed', isLate ? 'time-limit' : 'version-drained') : undefined;
		}

		const bad = this.#held ?? this.#whyBad(order, {state, revision}, facts, nowMs);
		if (bad) {
			return to('rolled-back', this.#hold(bad), 0);
		}

		const step = this.#forward(order, state, facts, nowMs);
		return step && to(step.phase, step.reason, step.share);
	}

	#hold(reason: RolloutReason): RolloutReason {
		this.#held ??= reason;
		return this.#held;
	}

	#begin(order: TimedRolloutOrder, {state, revision}: Row, {before, wallMs}: CoordinatorInputs): RolloutWrite | undefined {
		const had = state ? (state.phase === 'completed' ? [state.to] : state.before) : before.filter(version => version !== order.to || before.length === 1);
		if (had.length === 0) {
			return undefined;
		}

		const isThere = had.includes(order.to);
		const abandoned = state && !isFinal(state.phase) && !state.before.includes(state.to) ? [state.to] : [];
		return {
			order: order.version, expected: revision, reason: isThere ? 'already-there' : (state && !isFinal(state.phase) ? 'order-replaced' : 'ordered'),
			state: {
				order: order.version, to: order.to, before: isThere ? [order.to] : had,
				refused: [...new Set([...(state?.refused ?? []), ...abandoned])].filter(version => version !== order.to && !had.includes(version)),
				phase: isThere ? 'moving' : 'trial', share: isThere ? 1 : trialShareOf(this.#bounds.share),
				counter: (state?.counter ?? 0) + 1, orderedWallMs: wallMs,
			},
		};
	}

	#whyBad(order: TimedRolloutOrder, {state, revision}: StoredRolloutState, facts: CoordinatorInputs, nowMs: number): RolloutReason | undefined {
		if (facts.heldRevision === revision) {
			return 'held-elsewhere';
		}

		if (this.#verdict.alarm) {
			return this.#verdict.alarm.reason;
		}

		if (this.#hadTargetsMs !== undefined && nowMs - this.#hadTargetsMs > NO_TARGET_MS) {
			return 'no-target';
		}

		const next = nextShare(state.share);
		// Where the store does not answer here, another VM may still bring it to a good end.
		if (this.#failingSinceMs !== undefined) {
			return undefined;
		}

		if (next !== undefined && !this.#verdict.isGood && nowMs - this.#stepMs >= scheduleOf(order.durationMs).stepMs && this.#isExposed(order, nowMs)) {
			return 'exposure';
		}

		if (next !== undefined && nowMs - order.orderedMs > scheduleOf(order.durationMs).lastStartMs(next)) {
			return facts.newTargets === 0 ? 'no-target' : 'too-little-evidence';
		}

		return undefined;
	}

	/** Whether the new version got so much of what a bad one may get that doubt does not allow to wait for more. */
	#isExposed({orderedMs, durationMs}: TimedRolloutOrder, nowMs: number): boolean {
		const {before, next} = this.#sum.total;
		const all = (responsesOf(before) + responsesOf(next)) * durationMs / Math.max(1, nowMs - orderedMs);
		return responsesOf(next) > ((all * this.#bounds.share) + this.#bounds.slack) * DOUBTFUL_EXPOSURE;
	}

	#forward(order: TimedRolloutOrder, state: RolloutState, facts: CoordinatorInputs, nowMs: number): Step | undefined {
		const schedule = scheduleOf(order.durationMs);
		const {movingFromMs, endMs, lastEndMs, minStepMs} = schedule;
		const ageMs = nowMs - order.orderedMs;
		const stepMs = stepMsAt(this.#stepMs - order.orderedMs, state.share, schedule);
		const next = nextShare(state.share);
		if (next === undefined) {
			const sinceMs = nowMs - this.#stepMs;
			if (ageMs >= lastEndMs || (ageMs >= endMs && sinceMs >= minStepMs)) {
				return {phase: 'completed', reason: 'time-limit', share: state.share};
			}

			return sinceMs >= stepMs && this.#verdict.isGood && this.#isDrained(facts, nowMs, stepMs)
				? {phase: 'completed', reason: 'version-drained', share: state.share}
				: undefined;
		}

		const boosted = state.phase === 'trial' && nowMs - this.#stepMs >= stepMs
			? boostedShare(state.share, {
				ageMs, durationMs: order.durationMs, responses: this.#sum.total, needed: MIN_RESPONSES * BOOST_FACTOR, bounds: this.#bounds,
			})
			: undefined;
		if (boosted !== undefined && facts.newTargets > 0) {
			return {phase: 'trial', reason: 'little-evidence', share: boosted};
		}

		if (ageMs < movingFromMs || !this.#hasEvidence(state, facts, stepMs, nowMs)) {
			return undefined;
		}

		return {phase: 'moving', reason: 'evidence-good', share: next};
	}

	/** Whether what was seen in this step allows the next one. */
	#hasEvidence({phase}: RolloutState, {newSlots, oldSlots}: CoordinatorInputs, stepMs: number, nowMs: number): boolean {
		if (!this.#verdict.isGood || newSlots < oldSlots * MIN_SLOT_SHARE) {
			return false;
		}

		return phase === 'trial'
			? this.#responses() >= MIN_RESPONSES && this.#sum.total.next.timed >= MIN_TIMED
			: nowMs - this.#stepMs >= stepMs && this.#responses() - this.#stepResponses >= MIN_STEP_RESPONSES;
	}

	/** Whether all VMs send to the new version alone and nothing runs elsewhere. */
	#isDrained({vms}: CoordinatorInputs, nowMs: number, leastMs: number): boolean {
		return nowMs - this.#stepMs >= leastMs && this.#sum.vmsAtRevision >= vms && this.#sum.runningBefore === 0;
	}
}
