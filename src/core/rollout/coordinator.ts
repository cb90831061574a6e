/**
 * Carries out the roll-out of one service: the steps of its row, one write at a time, each
 * under the condition that neither the row nor the order has changed. Forward only by a row
 * that was written; back at once, by an announcement before the write.
 *
 * Several VMs may run one of these; whoever loses a write reads the row before anything
 * else. After a pause of its process it reads too, and announces nothing until it has.
 */
import {RegressionDetector, type Verdict} from './regression-detector.js';
import {responsesOf} from './counts.js';
import {EvidenceAggregate} from './evidence-aggregate.js';
import {
	raisedTrialShare, nextShare, scheduleOf, stepDurationMs, trialShareOf,
} from './schedule.js';
import {
	type EvidenceReport, type ExposureBounds, type TimedRolloutOrder, type RolloutPhase, type RolloutReason, type RolloutState, type RolloutWrite, type RolloutWriteResult, type StoredRolloutState,
} from './types.js';

/** Responses of the new version without which traffic does not move, and of these with times that count: what a service of 100 requests/s shows in a trial of four seconds, with warm targets for half of it. */
const MIN_RESPONSES = 12;
const MIN_TIMED_RESPONSES = 5;
/** Multiple of these that a trial aims at where a larger share is needed for it. */
const TRIAL_RESPONSES_FACTOR = 3;
/** Responses of the new version that a step has to show before the next. */
const MIN_STEP_RESPONSES = 6;
/** Milliseconds between looks above which this process stood still. */
const PAUSE_DETECTION_MS = 600;
/** Milliseconds without an answer of the store after which another VM takes over and announcements are not renewed here: some tries more than a slow store needs. */
const STORE_UNRESPONSIVE_MS = 500;
/** Milliseconds within which a VM in reach has sent evidence, with a report lost. */
const REPORT_TIMEOUT_MS = 1500;
/** Part of the VMs that have to be in reach. */
const MIN_REACHABLE_SHARE = 0.5;
/** Milliseconds from being chosen until VMs have begun to report here. */
const FIRST_REPORTS_MS = 2000;
/** Milliseconds between calls to the store after one that failed. */
const STORE_RETRY_MS = 200;
/** Part of the exposure bound above which a version in doubt is rolled back: what is under way and what other VMs send until they hear of it comes on top. */
const MAX_SUSPECT_EXPOSURE_SHARE = 0.4;
/** Slots of the new version against those of the old one below which more than the first part of the traffic does not move. */
const MIN_SLOT_RATIO = 0.4;
/** Milliseconds for which the new version has to be without targets until it is given up, once it had some. */
const NO_TARGET_MS = 1000;
/** Milliseconds after which no VM acts on an older announcement any more, with a margin. */
const ANNOUNCEMENT_EXPIRY_MS = 3000;

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

type NextStep = {readonly phase: RolloutPhase; readonly reason: RolloutReason; readonly share: number};

type KnownRow = {readonly state: RolloutState | undefined; readonly revision: number};

const isFinal = (phase: RolloutPhase): boolean => phase === 'completed' || phase === 'rolled-back';

export class RolloutCoordinator {
	readonly #bounds: ExposureBounds;
	readonly #evidence = new EvidenceAggregate();
	#detector = new RegressionDetector();
	#verdict: Verdict = {alarm: undefined, isGood: true, score: 0};
	#row: KnownRow | undefined;
	#callUnderWay: 'read' | RolloutWrite | undefined;
	#lastCheckMs = -Infinity;
	#nextCallMs = -Infinity;
	/** When calls to the store began to fail. */
	#storeFailingSinceMs: number | undefined;
	#wasCoordinator = false;
	/** When it was chosen, or went on after a pause. */
	#coordinatingSinceMs = 0;
	/** The call under way began before a pause: what it answers may be out of date. */
	#isCallStale = false;
	#stepStartMs = 0;
	#stepStartResponses = 0;
	#lastTargetsMs: number | undefined;
	/** Order whose evidence is summed. */
	#evidenceOrder = 0;
	/** Why the new version is held back. */
	#holdReason: RolloutReason | undefined;

	constructor(bounds: ExposureBounds) {
		this.#bounds = bounds;
	}

	handle(message: CoordinatorMessage, nowMs: number): readonly CoordinatorEffect[] {
		switch (message.kind) {
			case 'look': {
				return this.#check(message.facts, nowMs);
			}

			case 'evidence': {
				this.#evidence.addReport(message.vm, message.report, {vms: message.vms, nowMs});
				return [];
			}

			case 'read': {
				this.#callUnderWay = undefined;
				this.#storeFailingSinceMs = undefined;
				if (this.#clearStaleCall()) {
					return [];
				}

				this.#setRow({state: message.stored?.state, revision: message.stored?.revision ?? 0}, nowMs);
				return [];
			}

			case 'written': {
				const write = this.#callUnderWay;
				this.#callUnderWay = undefined;
				this.#storeFailingSinceMs = undefined;
				const isStale = this.#clearStaleCall();
				if (!isStale && write !== undefined && write !== 'read') {
					this.#setRow({state: write.state, revision: message.revision}, nowMs);
				}

				return [];
			}

			case 'conflict': {
				this.#callUnderWay = undefined;
				this.#isCallStale = false;
				this.#row = undefined;
				return [];
			}

			case 'read-failed':
			case 'not-written': {
				return this.#onStoreFailure(nowMs);
			}

			case 'maybe-written': {
				// Only the row itself tells whether it was.
				this.#row = undefined;
				return this.#onStoreFailure(nowMs);
			}
		}
	}

	#clearStaleCall(): boolean {
		const isStale = this.#isCallStale;
		this.#isCallStale = false;
		return isStale;
	}

	#newResponses(): number {
		return responsesOf(this.#evidence.total.next);
	}

	#onStoreFailure(nowMs: number): readonly CoordinatorEffect[] {
		this.#callUnderWay = undefined;
		this.#isCallStale = false;
		this.#nextCallMs = nowMs + STORE_RETRY_MS;
		this.#storeFailingSinceMs ??= nowMs;
		return [];
	}

	#setRow(row: KnownRow, nowMs: number): void {
		const isNew = row.revision !== this.#row?.revision;
		this.#row = row;
		if (row.state && row.state.order !== this.#evidenceOrder) {
			this.#startOrder(row.state.order);
		}

		if (isNew) {
			this.#stepStartMs = nowMs;
			this.#stepStartResponses = this.#newResponses();
			this.#evidence.startStep(row.revision);
		}
	}

	#startOrder(order: number): void {
		this.#evidenceOrder = order;
		this.#evidence.startOrder(order);
		this.#detector = new RegressionDetector();
		this.#verdict = {alarm: undefined, isGood: true, score: 0};
		this.#holdReason = undefined;
		this.#lastTargetsMs = undefined;
	}

	#check(facts: CoordinatorInputs, nowMs: number): readonly CoordinatorEffect[] {
		const wasPaused = nowMs - this.#lastCheckMs > PAUSE_DETECTION_MS;
		this.#lastCheckMs = nowMs;
		if (!facts.isCoordinator) {
			this.#wasCoordinator = false;
			this.#row = undefined;
			return [];
		}

		if (!this.#wasCoordinator || wasPaused) {
			this.#wasCoordinator = true;
			this.#coordinatingSinceMs = nowMs;
			this.#row = undefined;
			this.#isCallStale = this.#callUnderWay !== undefined;
		}

		if (facts.newTargets > 0) {
			this.#lastTargetsMs = nowMs;
		}

		const stepDown = this.#stepDownIfUnreachable(facts, nowMs);
		if (!this.#row) {
			return [...stepDown, ...this.#startRead(nowMs)];
		}

		this.#verdict = this.#detector.evaluate(this.#evidence.routes);
		const write = this.#callUnderWay === undefined && nowMs >= this.#nextCallMs ? this.#nextWrite(this.#row, facts, nowMs) : undefined;
		return [...stepDown, ...this.#announce(nowMs), ...(write ? this.#startWrite(write) : [])];
	}

	#startRead(nowMs: number): readonly CoordinatorEffect[] {
		if (this.#callUnderWay !== undefined || nowMs < this.#nextCallMs) {
			return [];
		}

		this.#callUnderWay = 'read';
		return [{kind: 'read'}];
	}

	#startWrite(write: RolloutWrite): readonly CoordinatorEffect[] {
		this.#callUnderWay = write;
		return [{kind: 'write', write}, {
			kind: 'log', write, verdict: this.#verdict, responses: this.#newResponses(), runningBefore: this.#evidence.runningBefore,
		}];
	}

	#isStoreUnresponsive(nowMs: number): boolean {
		return this.#storeFailingSinceMs !== undefined && nowMs - this.#storeFailingSinceMs > STORE_UNRESPONSIVE_MS;
	}

	/** If no VM is better off this one goes on, since its rank brings it back. */
	#stepDownIfUnreachable({vms}: CoordinatorInputs, nowMs: number): readonly CoordinatorEffect[] {
		const isIsolated = nowMs - this.#coordinatingSinceMs > FIRST_REPORTS_MS && this.#row !== undefined && this.#evidence.vmsReportingSince(nowMs - REPORT_TIMEOUT_MS) < vms * MIN_REACHABLE_SHARE;
		return isIsolated || this.#isStoreUnresponsive(nowMs) ? [{kind: 'step-down'}] : [];
	}

	#announce(nowMs: number): readonly CoordinatorEffect[] {
		const row = this.#row;
		return row?.state && !this.#isStoreUnresponsive(nowMs)
			? [{kind: 'announce', stored: {state: row.state, revision: row.revision}, isHeld: this.#holdReason !== undefined && !isFinal(row.state.phase)}]
			: [];
	}

	/** The write that the row needs now. Also decides whether the new version is held back. */
	#nextWrite({state, revision}: KnownRow, facts: CoordinatorInputs, nowMs: number): RolloutWrite | undefined {
		const {order} = facts;
		if (!state || (order && order.version > state.order)) {
			return order && this.#firstWrite(order, {state, revision}, facts);
		}

		if (isFinal(state.phase) || (order && order.version < state.order)) {
			return undefined;
		}

		const writeOf = (phase: RolloutPhase, reason: RolloutReason, share = state.share): RolloutWrite => ({
			order: order?.version ?? 0, expected: revision, reason, state: {
				...state, phase, share, counter: state.counter + 1, ...(phase === 'rolled-back' && {refused: [...new Set([...state.refused, state.to])]}),
			},
		});
		if (!order) {
			return writeOf('rolled-back', this.#hold('order-removed'), 0);
		}

		if (state.before.includes(state.to)) {
			const isLate = nowMs - order.orderedMs >= scheduleOf(order.durationMs).endMs;
			return isLate || this.#isDrained(facts, nowMs, ANNOUNCEMENT_EXPIRY_MS) ? writeOf('completed', isLate ? 'time-limit' : 'version-drained') : undefined;
		}

		const rollBackReason = this.#holdReason ?? this.#rollBackReason(order, {state, revision}, facts, nowMs);
		if (rollBackReason) {
			return writeOf('rolled-back', this.#hold(rollBackReason), 0);
		}

		const step = this.#nextStep(order, state, facts, nowMs);
		return step && writeOf(step.phase, step.reason, step.share);
	}

	#hold(reason: RolloutReason): RolloutReason {
		this.#holdReason ??= reason;
		return this.#holdReason;
	}

	#firstWrite(order: TimedRolloutOrder, {state, revision}: KnownRow, {before, wallMs}: CoordinatorInputs): RolloutWrite | undefined {
		const previousVersions = state ? (state.phase === 'completed' ? [state.to] : state.before) : before.filter(version => version !== order.to || before.length === 1);
		if (previousVersions.length === 0) {
			return undefined;
		}

		const isAlreadyServed = previousVersions.includes(order.to);
		const abandonedVersions = state && !isFinal(state.phase) && !state.before.includes(state.to) ? [state.to] : [];
		return {
			order: order.version, expected: revision, reason: isAlreadyServed ? 'already-there' : (state && !isFinal(state.phase) ? 'order-replaced' : 'ordered'),
			state: {
				order: order.version, to: order.to, before: isAlreadyServed ? [order.to] : previousVersions,
				refused: [...new Set([...(state?.refused ?? []), ...abandonedVersions])].filter(version => version !== order.to && !previousVersions.includes(version)),
				phase: isAlreadyServed ? 'moving' : 'trial', share: isAlreadyServed ? 1 : trialShareOf(this.#bounds.share),
				counter: (state?.counter ?? 0) + 1, orderedWallMs: wallMs,
			},
		};
	}

	#rollBackReason(order: TimedRolloutOrder, {state, revision}: StoredRolloutState, facts: CoordinatorInputs, nowMs: number): RolloutReason | undefined {
		if (facts.heldRevision === revision) {
			return 'held-elsewhere';
		}

		if (this.#verdict.alarm) {
			return this.#verdict.alarm.reason;
		}

		if (this.#lastTargetsMs !== undefined && nowMs - this.#lastTargetsMs > NO_TARGET_MS) {
			return 'no-target';
		}

		const next = nextShare(state.share);
		// Where the store does not answer here, another VM may still bring it to a good end.
		if (this.#storeFailingSinceMs !== undefined) {
			return undefined;
		}

		if (next !== undefined && !this.#verdict.isGood && nowMs - this.#stepStartMs >= scheduleOf(order.durationMs).stepMs && this.#isExposureHigh(order, nowMs)) {
			return 'exposure';
		}

		if (next !== undefined && nowMs - order.orderedMs > scheduleOf(order.durationMs).latestStartMs(next)) {
			return facts.newTargets === 0 ? 'no-target' : 'too-little-evidence';
		}

		return undefined;
	}

	/** Whether the new version got so much of what a bad one may get that doubt does not allow to wait for more. */
	#isExposureHigh({orderedMs, durationMs}: TimedRolloutOrder, nowMs: number): boolean {
		const {before, next} = this.#evidence.total;
		const expectedResponses = (responsesOf(before) + responsesOf(next)) * durationMs / Math.max(1, nowMs - orderedMs);
		return responsesOf(next) > ((expectedResponses * this.#bounds.share) + this.#bounds.slack) * MAX_SUSPECT_EXPOSURE_SHARE;
	}

	#nextStep(order: TimedRolloutOrder, state: RolloutState, facts: CoordinatorInputs, nowMs: number): NextStep | undefined {
		const schedule = scheduleOf(order.durationMs);
		const {movingStartMs, endMs, latestEndMs, minStepMs} = schedule;
		const ageMs = nowMs - order.orderedMs;
		const stepMs = stepDurationMs(this.#stepStartMs - order.orderedMs, state.share, schedule);
		const next = nextShare(state.share);
		if (next === undefined) {
			const stepAgeMs = nowMs - this.#stepStartMs;
			if (ageMs >= latestEndMs || (ageMs >= endMs && stepAgeMs >= minStepMs)) {
				return {phase: 'completed', reason: 'time-limit', share: state.share};
			}

			return stepAgeMs >= stepMs && this.#verdict.isGood && this.#isDrained(facts, nowMs, stepMs)
				? {phase: 'completed', reason: 'version-drained', share: state.share}
				: undefined;
		}

		const raisedShare = state.phase === 'trial' && nowMs - this.#stepStartMs >= stepMs
			? raisedTrialShare(state.share, {
				ageMs, durationMs: order.durationMs, responses: this.#evidence.total, needed: MIN_RESPONSES * TRIAL_RESPONSES_FACTOR, bounds: this.#bounds,
			})
			: undefined;
		if (raisedShare !== undefined && facts.newTargets > 0) {
			return {phase: 'trial', reason: 'little-evidence', share: raisedShare};
		}

		if (ageMs < movingStartMs || !this.#hasEnoughEvidence(state, facts, stepMs, nowMs)) {
			return undefined;
		}

		return {phase: 'moving', reason: 'evidence-good', share: next};
	}

	/** Whether what was seen in this step allows the next one. */
	#hasEnoughEvidence({phase}: RolloutState, {newSlots, oldSlots}: CoordinatorInputs, stepMs: number, nowMs: number): boolean {
		if (!this.#verdict.isGood || newSlots < oldSlots * MIN_SLOT_RATIO) {
			return false;
		}

		return phase === 'trial'
			? this.#newResponses() >= MIN_RESPONSES && this.#evidence.total.next.timed >= MIN_TIMED_RESPONSES
			: nowMs - this.#stepStartMs >= stepMs && this.#newResponses() - this.#stepStartResponses >= MIN_STEP_RESPONSES;
	}

	/** Whether all VMs send to the new version alone and nothing runs elsewhere. */
	#isDrained({vms}: CoordinatorInputs, nowMs: number, minMs: number): boolean {
		return nowMs - this.#stepStartMs >= minMs && this.#evidence.vmsAtRevision >= vms && this.#evidence.runningBefore === 0;
	}
}
