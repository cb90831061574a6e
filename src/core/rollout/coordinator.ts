/**
 * Carries out the roll-out of one service by writing its state row, one step at a time. Each
 * write is done only if neither the row nor the order has changed. The new version gets more
 * traffic only after the row was written; it loses its traffic at once, by an announcement
 * that precedes the write.
 *
 * Several VMs may coordinate the same service at once. A coordinator whose write meets a
 * conflict reads the row before it does anything else. It also reads the row after a pause of
 * its process, and announces nothing until it has the result.
 */
import {eraOf} from '../store-watch/store-version.js';
import {isFromOlderCopy} from './participant.js';
import {RegressionDetector, type Verdict} from './regression-detector.js';
import {responsesOf} from './counts.js';
import {EvidenceAggregate} from './evidence-aggregate.js';
import {
	raisedTrialShare, nextShare, scheduleOf, stepDurationMs, trialShareOf,
} from './schedule.js';
import {
	type EvidenceReport, type ExposureBounds, type TimedRolloutOrder, type RolloutPhase, type RolloutReason, type RolloutState, type RolloutWrite, type RolloutWriteResult, type StoredRolloutState,
} from './types.js';

/** Responses of the new version that the trial needs before more traffic moves, and how many of these have to come from warm targets, since only their times are measured. A service of 100 requests/s reaches both in a trial of four seconds whose targets are warm for half of the time. */
const MIN_RESPONSES = 12;
const MIN_TIMED_RESPONSES = 5;
/** Multiple of `MIN_RESPONSES` that a trial with few requests is expected to reach after its traffic share is raised. */
const TRIAL_RESPONSES_FACTOR = 3;
/** Responses of the new version that each step after the trial needs before the next one. */
const MIN_STEP_RESPONSES = 6;
/** Milliseconds between checks above which the process is assumed to have been paused. */
const PAUSE_DETECTION_MS = 600;
/** Milliseconds without a response from the store after which another VM takes over and this one stops renewing announcements. This time allows more retries than a slow store needs. */
const STORE_UNRESPONSIVE_MS = 500;
/** Milliseconds within which evidence arrives from every reachable VM, even if one report is lost. */
const REPORT_TIMEOUT_MS = 1500;
/** Share of the VMs whose evidence has to arrive within `REPORT_TIMEOUT_MS`; with fewer, the coordinator steps down. */
const MIN_REACHABLE_SHARE = 0.5;
/** Milliseconds from becoming coordinator until the other VMs have begun to report to this one. */
const FIRST_REPORTS_MS = 2000;
/** Milliseconds from a failed call to the store to the next call. */
const STORE_RETRY_MS = 200;
/** Share of the exposure bound above which a suspect version is rolled back. The rest of the bound is for requests under way and those that other VMs send until the announcement of the roll-back reaches them. */
const MAX_SUSPECT_EXPOSURE_SHARE = 0.4;
/** Ratio of the new version's slots to the old versions' slots below which the share stays where it is. */
const MIN_SLOT_RATIO = 0.4;
/** Milliseconds without targets after which a new version that had some is rolled back. */
const NO_TARGET_MS = 1000;
/** Milliseconds after the write of a state row, with a margin, after which no VM acts on an announcement of an earlier row any more. */
const ANNOUNCEMENT_EXPIRY_MS = 3000;

/** What the VM knows at a check, besides the evidence. */
export type CoordinatorInputs = {
	/** Whether this VM is the coordinator. */
	readonly isCoordinator: boolean;
	/** The active order; undefined when there is none. */
	readonly order: TimedRolloutOrder | undefined;
	/** Versions that served the service before the order, as far as this VM knows. */
	readonly before: readonly string[];
	/** Usable targets of the new version, and the slots of the usable targets of the new and the old versions. */
	readonly newTargets: number;
	readonly newSlots: number;
	readonly oldSlots: number;
	/** Number of VMs in the fleet. */
	readonly vms: number;
	/** Revision of the state row whose announcement states that the new version is held back; undefined when it is not held back. */
	readonly heldRevision: number | undefined;
	readonly wallMs: number;
};

export type CoordinatorMessage =
	/** The periodic check. */
	| {readonly kind: 'look'; readonly inputs: CoordinatorInputs}
	| {readonly kind: 'evidence'; readonly vm: string; readonly report: EvidenceReport; readonly vms: number}
	/** The state row was read; `stored` is undefined when it does not exist. `known` is the newest state that this VM knows. */
	| {readonly kind: 'read'; readonly stored: StoredRolloutState | undefined; readonly known?: StoredRolloutState | undefined}
	| {readonly kind: 'read-failed'}
	| RolloutWriteResult;

export type CoordinatorEffect =
	| {readonly kind: 'read'}
	| {readonly kind: 'write'; readonly write: RolloutWrite}
	/** Another VM should coordinate, since this one cannot reach the store or most VMs. */
	| {readonly kind: 'step-down'}
	/** Renews the announcement of the state row that was written. */
	| {readonly kind: 'announce'; readonly stored: StoredRolloutState; readonly isHeld: boolean}
	| {readonly kind: 'log'; readonly write: RolloutWrite; readonly verdict: Verdict; readonly responses: number; readonly runningBefore: number};

type NextStep = {readonly phase: RolloutPhase; readonly reason: RolloutReason; readonly share: number};

type KnownRow = {readonly state: RolloutState | undefined; readonly revision: number};

/** Returns the store version that the order's row has now. */
const rowVersionOf = ({version, rowVersion = version}: TimedRolloutOrder): number => rowVersion;

const isFinal = (phase: RolloutPhase): boolean => phase === 'completed' || phase === 'rolled-back';

export class RolloutCoordinator {
	readonly #bounds: ExposureBounds;
	readonly #evidence = new EvidenceAggregate();
	#detector = new RegressionDetector();
	#verdict: Verdict = {alarm: undefined, isGood: true, score: 0};
	#row: KnownRow | undefined;
	/** Whether the store lost the known state, which has to be written again. */
	#isRowLost = false;
	#callUnderWay: 'read' | RolloutWrite | undefined;
	#lastCheckMs = -Infinity;
	#nextCallMs = -Infinity;
	/** Time of the first failed call to the store since the last successful one. */
	#storeFailingSinceMs: number | undefined;
	#wasCoordinator = false;
	/** When this VM became coordinator, or resumed after a pause. */
	#coordinatingSinceMs = 0;
	/** Whether the call under way began before a pause, so that its result may be out of date. */
	#isCallStale = false;
	#stepStartMs = 0;
	/** Responses of the new version that were counted before the step began. */
	#stepStartResponses = 0;
	/** When the new version last had usable targets; undefined before it had any. */
	#lastTargetsMs: number | undefined;
	/** Store version of the order to which the evidence belongs. */
	#evidenceOrder = 0;
	/** Why the new version is held back; undefined when it is not. */
	#holdReason: RolloutReason | undefined;

	constructor(bounds: ExposureBounds) {
		this.#bounds = bounds;
	}

	handle(message: CoordinatorMessage, nowMs: number): readonly CoordinatorEffect[] {
		switch (message.kind) {
			case 'look': {
				return this.#check(message.inputs, nowMs);
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

				this.#onRead(message.stored, message.known, nowMs);
				return [];
			}

			case 'written': {
				const write = this.#callUnderWay;
				this.#callUnderWay = undefined;
				this.#storeFailingSinceMs = undefined;
				const isStale = this.#clearStaleCall();
				if (!isStale && write !== undefined && write !== 'read') {
					this.#isRowLost = false;
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
				// Only a read of the row tells whether the write was done.
				this.#row = undefined;
				return this.#onStoreFailure(nowMs);
			}
		}
	}

	/** Takes over the row that was read. If the store came back from an older copy, which lacks the last steps, the known state is written again. */
	#onRead(stored: StoredRolloutState | undefined, known: StoredRolloutState | undefined, nowMs: number): void {
		const isLost = known !== undefined && (stored ? eraOf(stored.revision) > eraOf(known.revision) && isFromOlderCopy(stored.state, known.state) : known.state.counter > 0);
		this.#isRowLost = isLost;
		this.#setRow({state: isLost ? known.state : stored?.state, revision: stored?.revision ?? 0}, nowMs);
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

	#check(inputs: CoordinatorInputs, nowMs: number): readonly CoordinatorEffect[] {
		const wasPaused = nowMs - this.#lastCheckMs > PAUSE_DETECTION_MS;
		this.#lastCheckMs = nowMs;
		if (!inputs.isCoordinator) {
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

		if (inputs.newTargets > 0) {
			this.#lastTargetsMs = nowMs;
		}

		const stepDown = this.#stepDownIfUnreachable(inputs, nowMs);
		if (!this.#row) {
			return [...stepDown, ...this.#startRead(nowMs)];
		}

		this.#verdict = this.#detector.evaluate(this.#evidence.routes);
		const write = this.#callUnderWay === undefined && nowMs >= this.#nextCallMs ? this.#nextWrite(this.#row, inputs, nowMs) : undefined;
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

	/** Asks another VM to take over when too few VMs report or the store does not respond. When all VMs do so, the first in rank is elected again. */
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

	/** Returns the write that is due now, if any, and decides whether the new version is held back. */
	#nextWrite({state, revision}: KnownRow, inputs: CoordinatorInputs, nowMs: number): RolloutWrite | undefined {
		const {order} = inputs;
		if (!state || (order && order.version > state.order)) {
			return order && this.#firstWrite(order, {state, revision}, inputs);
		}

		const writeOf = (phase: RolloutPhase, reason: RolloutReason, share = state.share): RolloutWrite => ({
			order: order ? rowVersionOf(order) : 0, expected: revision, reason, state: {
				...state, phase, share, counter: state.counter + 1, ...(phase === 'rolled-back' && {refused: [...new Set([...state.refused, state.to])]}),
			},
		});
		if (this.#isRowLost && order?.version === state.order) {
			return writeOf(state.phase, 'restored');
		}

		if (isFinal(state.phase) || (order && order.version < state.order)) {
			return undefined;
		}

		if (!order) {
			return writeOf('rolled-back', this.#hold('order-removed'), 0);
		}

		if (state.before.includes(state.to)) {
			const isLate = nowMs - order.orderedMs >= scheduleOf(order.durationMs).endMs;
			return isLate || this.#isDrained(inputs, nowMs, ANNOUNCEMENT_EXPIRY_MS) ? writeOf('completed', isLate ? 'time-limit' : 'version-drained') : undefined;
		}

		const rollBackReason = this.#holdReason ?? this.#rollBackReason(order, {state, revision}, inputs, nowMs);
		if (rollBackReason) {
			return writeOf('rolled-back', this.#hold(rollBackReason), 0);
		}

		const step = this.#nextStep(order, state, inputs, nowMs);
		return step && writeOf(step.phase, step.reason, step.share);
	}

	#hold(reason: RolloutReason): RolloutReason {
		this.#holdReason ??= reason;
		return this.#holdReason;
	}

	/** Returns the first write for a new order; undefined while the versions before the order are unknown. */
	#firstWrite(order: TimedRolloutOrder, {state, revision}: KnownRow, {before, wallMs}: CoordinatorInputs): RolloutWrite | undefined {
		const previousVersions = state ? (state.phase === 'completed' ? [state.to] : state.before) : before.filter(version => version !== order.to || before.length === 1);
		if (previousVersions.length === 0) {
			return undefined;
		}

		const isAlreadyServed = previousVersions.includes(order.to);
		const abandonedVersions = state && !isFinal(state.phase) && !state.before.includes(state.to) ? [state.to] : [];
		return {
			order: rowVersionOf(order), expected: revision, reason: isAlreadyServed ? 'already-there' : (state && !isFinal(state.phase) ? 'order-replaced' : 'ordered'),
			state: {
				order: order.version, to: order.to, before: isAlreadyServed ? [order.to] : previousVersions,
				refused: [...new Set([...(state?.refused ?? []), ...abandonedVersions])].filter(version => version !== order.to && !previousVersions.includes(version)),
				phase: isAlreadyServed ? 'moving' : 'trial', share: isAlreadyServed ? 1 : trialShareOf(this.#bounds.share),
				counter: (state?.counter ?? 0) + 1, orderedWallMs: wallMs,
			},
		};
	}

	/** Returns why the new version has to be rolled back; undefined when it does not. */
	#rollBackReason(order: TimedRolloutOrder, {state, revision}: StoredRolloutState, inputs: CoordinatorInputs, nowMs: number): RolloutReason | undefined {
		if (inputs.heldRevision === revision) {
			return 'held-elsewhere';
		}

		if (this.#verdict.alarm) {
			return this.#verdict.alarm.reason;
		}

		if (this.#lastTargetsMs !== undefined && nowMs - this.#lastTargetsMs > NO_TARGET_MS) {
			return 'no-target';
		}

		const next = nextShare(state.share);
		// While calls to the store fail here, another VM may still complete the roll-out.
		if (this.#storeFailingSinceMs !== undefined) {
			return undefined;
		}

		if (next !== undefined && !this.#verdict.isGood && nowMs - this.#stepStartMs >= scheduleOf(order.durationMs).stepMs && this.#isExposureHigh(order, nowMs)) {
			return 'exposure';
		}

		if (next !== undefined && nowMs - order.orderedMs > scheduleOf(order.durationMs).latestStartMs(next)) {
			return inputs.newTargets === 0 ? 'no-target' : 'too-little-evidence';
		}

		return undefined;
	}

	/** Whether the responses of the new version exceed `MAX_SUSPECT_EXPOSURE_SHARE` of the exposure bound, so that it is rolled back if it is suspect. */
	#isExposureHigh({orderedMs, durationMs}: TimedRolloutOrder, nowMs: number): boolean {
		const {before, next} = this.#evidence.total;
		const expectedResponses = (responsesOf(before) + responsesOf(next)) * durationMs / Math.max(1, nowMs - orderedMs);
		return responsesOf(next) > ((expectedResponses * this.#bounds.share) + this.#bounds.slack) * MAX_SUSPECT_EXPOSURE_SHARE;
	}

	/** Returns the step forward that the schedule and the evidence allow now, if any. */
	#nextStep(order: TimedRolloutOrder, state: RolloutState, inputs: CoordinatorInputs, nowMs: number): NextStep | undefined {
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

			return stepAgeMs >= stepMs && this.#verdict.isGood && this.#isDrained(inputs, nowMs, stepMs)
				? {phase: 'completed', reason: 'version-drained', share: state.share}
				: undefined;
		}

		const raisedShare = state.phase === 'trial' && nowMs - this.#stepStartMs >= stepMs
			? raisedTrialShare(state.share, {
				ageMs, durationMs: order.durationMs, responses: this.#evidence.total, needed: MIN_RESPONSES * TRIAL_RESPONSES_FACTOR, bounds: this.#bounds,
			})
			: undefined;
		if (raisedShare !== undefined && inputs.newTargets > 0) {
			return {phase: 'trial', reason: 'little-evidence', share: raisedShare};
		}

		if (ageMs < movingStartMs || !this.#hasEnoughEvidence(state, inputs, stepMs, nowMs)) {
			return undefined;
		}

		return {phase: 'moving', reason: 'evidence-good', share: next};
	}

	/** Whether the responses of this step allow the next one. */
	#hasEnoughEvidence({phase}: RolloutState, {newSlots, oldSlots}: CoordinatorInputs, stepMs: number, nowMs: number): boolean {
		if (!this.#verdict.isGood || newSlots < oldSlots * MIN_SLOT_RATIO) {
			return false;
		}

		return phase === 'trial'
			? this.#newResponses() >= MIN_RESPONSES && this.#evidence.total.next.timed >= MIN_TIMED_RESPONSES
			: nowMs - this.#stepStartMs >= stepMs && this.#newResponses() - this.#stepStartResponses >= MIN_STEP_RESPONSES;
	}

	/** Whether the step has lasted for `minMs`, all VMs follow its row, and no request runs at another version. */
	#isDrained({vms}: CoordinatorInputs, nowMs: number, minMs: number): boolean {
		return nowMs - this.#stepStartMs >= minMs && this.#evidence.vmsAtRevision >= vms && this.#evidence.runningBefore === 0;
	}
}
