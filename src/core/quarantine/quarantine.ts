/**
 * Quarantine of prompt parts that end the targets which answer them (poison requests). Each VM
 * merges what all VMs saw of the ends of target processes, and condemns the part that these ends
 * have in common. Requests with a condemned part are refused before they reach a target.
 *
 * Fault pattern: requests that arrive at any VM and have one part of their prompts in common, each
 * of which ends its target; every VM alone sees one end or none.
 */
import {hash32} from '../membership/rendezvous.js';
import {
	blamedRequests, findAccused, findCulprit, type BlameContext,
} from './blame.js';
import {ClosedStreams} from './closed-streams.js';
import {END_REPORT_MS, EndRecords, type EndRecord} from './end-records.js';
import {createReplyLimit} from './reply-limit.js';
import {SoundParts} from './sound-parts.js';
import {
	type Judgement, type LiftReason, type QuarantineEffect, type QuarantineMessage, type QuarantineReport, type SoundPart, type SuspectRequest,
} from './types.js';
import {Verdicts} from './verdicts.js';

/**
 * Milliseconds from the first event of an answer after which the request is cleared. Requests that
 * end their targets do so within some 100 ms of the first event, and a slow target takes several
 * times as long.
 */
export const MIN_SOUND_ANSWER_MS = 1000;
/**
 * Least milliseconds from the first end that a part is blamed for to its verdict. Other VMs may
 * have answered requests with the part, and their reports need some rounds in a large fleet. For
 * as long after each end, requests with a part that is blamed for two ends are refused.
 */
const MIN_HEARING_MS = 800;
/** Turns that an accused part waits for others at most. */
const MAX_TURNS = 5;
/** Milliseconds after an end for which requests with a part that may be the reason are sent to one target. */
const SUSPICION_MS = 60_000;
/** Parts whose answered requests are reported. */
const MAX_REPORTED_SOUND = 64;
/** Parts that other VMs blame and that are remembered. */
const MAX_QUESTIONED = 512;
/** Parts of which other VMs reported answered requests and that are remembered. */
const MAX_SOUND_ELSEWHERE = 512;

const EMPTY_REPORT: QuarantineReport = {ends: [], sound: [], verdicts: []};

type Message<Kind extends QuarantineMessage['kind']> = Extract<QuarantineMessage, {kind: Kind}>;

export class Quarantine {
	readonly #vm: string;
	readonly #sound = new SoundParts();
	readonly #soundElsewhere = new Map<string, number>();
	/** Parts that other VMs blame for an end, with the time of the last report that did. */
	readonly #questioned = new Map<string, number>();
	readonly #ends: EndRecords;
	readonly #closed = new ClosedStreams();
	readonly #verdicts = new Verdicts();
	readonly #replyLimit = createReplyLimit();
	/** Parts that may be the reason for a recent end, with the time of the last one. */
	#suspected: ReadonlyMap<string, number> = new Map();
	/** When each of these parts was first suspected here. */
	readonly #suspectedSince = new Map<string, number>();
	/** Part for which the evidence suffices, but has not stood for `MIN_HEARING_MS` yet. */
	#dueVerdict: string | undefined;
	/** Parts with half of the evidence, each with the time until which its requests are refused. */
	#pausedUntil: ReadonlyMap<string, number> = new Map();
	readonly #blame: BlameContext = {
		soundMs: part => this.#soundMs(part),
		isCondemned: part => this.#verdicts.has(part),
	};

	/** @param vm - Name of this VM. */
	constructor(vm: string) {
		this.#vm = vm;
		this.#ends = new EndRecords(vm);
	}

	/** Parts that are condemned. */
	get condemned(): readonly string[] {
		return this.#verdicts.parts;
	}

	/** Whether the evidence suffices for a verdict that other VMs may still refute; a `tick` is due soon. */
	get isVerdictDue(): boolean {
		return this.#dueVerdict !== undefined;
	}

	handle(message: QuarantineMessage, nowMs: number): readonly QuarantineEffect[] {
		const effects = this.#handle(message, nowMs);
		return this.#dueVerdict === undefined ? effects : [...effects, ...this.#decide(nowMs)];
	}

	/** Returns the verdict on a part as it is to be stored; undefined if the part is not condemned. */
	storedVerdict(part: string): {readonly checks: number} | undefined {
		const checks = this.#verdicts.checks(part);
		return checks === undefined ? undefined : {checks};
	}

	/**
	 * Judges a request that is about to be placed.
	 *
	 * @param mayCheck - Whether this VM lets the requests through that check the verdict on a part.
	 */
	judge(parts: readonly string[], mayCheck: (part: string) => boolean, nowMs: number): Judgement {
		const pausedPart = this.#pausedPart(parts, nowMs);
		return pausedPart === undefined
			? this.#verdicts.judge(parts, mayCheck, nowMs)
			: {kind: 'refuse', part: pausedPart, retryAfterMs: MIN_HEARING_MS};
	}

	/** Whether requests with these parts are refused now. */
	isRefused(parts: readonly string[], nowMs: number): boolean {
		return (this.#verdicts.size > 0 && parts.some(part => this.#verdicts.has(part))) || this.#pausedPart(parts, nowMs) !== undefined;
	}

	/** Returns the part for which a request is kept apart from others, because it may be the reason for a recent end. */
	suspectedPart(parts: readonly string[], nowMs: number): string | undefined {
		return this.#suspected.size === 0
			? undefined
			: parts.findLast(part => nowMs - (this.#suspected.get(part) ?? -Infinity) < SUSPICION_MS && this.#soundMs(part) === undefined);
	}

	/** Returns the report to other VMs. */
	report(nowMs: number): QuarantineReport {
		if (this.#ends.size === 0 && this.#verdicts.size === 0) {
			return EMPTY_REPORT;
		}

		return {
			// The evidence of a verdict is reported on, for VMs that have not decided yet.
			ends: this.#ends.reports(record => blamedRequests(record, {...this.#blame, isCondemned: () => false}), nowMs),
			sound: this.#soundReport(nowMs),
			verdicts: this.#verdicts.reports(nowMs),
		};
	}

	/** Returns the part whose requests are refused for now, since its verdict is due or an end was blamed on it a moment ago. */
	#pausedPart(parts: readonly string[], nowMs: number): string | undefined {
		return this.#dueVerdict === undefined && this.#pausedUntil.size === 0
			? undefined
			: parts.find(part => part === this.#dueVerdict || (nowMs < (this.#pausedUntil.get(part) ?? -Infinity) && this.#soundMs(part) === undefined));
	}

	#handle(message: QuarantineMessage, nowMs: number): readonly QuarantineEffect[] {
		switch (message.kind) {
			case 'answered': {
				return this.#onAnswered(message, nowMs);
			}

			case 'closed': {
				this.#closed.add({...message, atMs: nowMs});
				return [];
			}

			case 'broke': {
				return this.#onBroke(message, nowMs);
			}

			case 'unreachable':
			case 'entry-gone': {
				const cut = this.#closed.takeCut(message, nowMs).flatMap(stream => this.#onBroke(stream, nowMs));
				const record = this.#ends.noteSign(message, message.kind === 'unreachable', nowMs);
				return record ? [...cut, ...this.#onEvidence([record], nowMs)] : cut;
			}

			case 'alive': {
				const complete = this.#closed.takeComplete(message, message.sentMs);
				if (this.#ends.size > 0 && this.#ends.noteAlive(message, message.sentMs)) {
					this.#suspected = this.#findSuspected(nowMs);
				}

				return complete.flatMap(stream => this.#onAnswered(stream, nowMs));
			}

			case 'reported': {
				return this.#onReported(message, nowMs);
			}

			case 'stored': {
				return message.verdicts.filter(({part}) => !this.#verdicts.has(part)).flatMap(({part, checks}) => {
					this.#verdicts.add(part, {decidedBy: 'store', checks}, nowMs);
					return this.#condemnedEffect(part, 'store', []);
				});
			}

			case 'lift': {
				// Like an answer, this outdates the evidence so far, here and at the other VMs.
				this.#setSoundElsewhere(message.part, nowMs);
				return this.#lift(message.part, 'operator');
			}

			case 'tick': {
				this.#ends.expire(nowMs);
				for (const [part, atMs] of this.#questioned) {
					if (nowMs - atMs > END_REPORT_MS) {
						this.#questioned.delete(part);
					}
				}

				return this.#verdicts.expire(nowMs).map(part => ({
					kind: 'lifted', part, reason: 'no-requests', isOwn: false,
				}));
			}
		}
	}

	#soundMs(part: string): number | undefined {
		const [own, elsewhere] = [this.#sound.lastMs(part), this.#soundElsewhere.get(part)];
		return own === undefined || elsewhere === undefined ? own ?? elsewhere : Math.max(own, elsewhere);
	}

	#onBroke({requestId, parts, ...process}: Omit<Message<'broke'>, 'kind'>, nowMs: number): readonly QuarantineEffect[] {
		const record = this.#ends.noteBroke(process, {requestHash: hash32(requestId), parts}, nowMs);
		return this.#onEvidence(record.isConfirmed ? [record] : [], nowMs);
	}

	#onAnswered({team, parts}: Pick<Message<'answered'>, 'team' | 'parts'>, nowMs: number): readonly QuarantineEffect[] {
		this.#sound.note(team, parts, nowMs);
		return this.#verdicts.size === 0 ? [] : parts.flatMap(part => this.#lift(part, 'answered'));
	}

	#lift(part: string, reason: LiftReason, isOwn = true): readonly QuarantineEffect[] {
		return this.#verdicts.lift(part)
			? [{
				kind: 'lifted', part, reason, isOwn,
			}]
			: [];
	}

	#onReported({from, report}: Message<'reported'>, nowMs: number): readonly QuarantineEffect[] {
		for (const part of report.ends.flatMap(({suspects}) => suspects.flatMap(({parts}) => parts))) {
			if (this.#questioned.size < MAX_QUESTIONED || this.#questioned.has(part)) {
				this.#questioned.set(part, nowMs);
			}
		}

		const isBlamedWrongly = report.ends.some(({suspects}) => suspects.some(({parts}) => parts.some(part => this.#soundMs(part) !== undefined)));
		const cleared = report.sound.flatMap(sound => this.#noteSoundElsewhere(sound, nowMs));
		const records = report.ends.flatMap(end => this.#ends.merge(end, nowMs) ?? []);
		const evidence: readonly QuarantineEffect[] = records.length > 0 ? [...this.#onEvidence(records.filter(({isConfirmed}) => isConfirmed), nowMs), {kind: 'spread'}] : [];
		const adopted = report.verdicts.flatMap(verdict => {
			const soundMs = this.#soundMs(verdict.part);
			const isRefuted = soundMs !== undefined && soundMs > nowMs - verdict.ageMs;
			return !isRefuted && this.#verdicts.merge(from, verdict, nowMs) ? [...this.#condemnedEffect(verdict.part, verdict.decidedBy, []), {kind: 'spread'} as const] : [];
		});
		return [...cleared, ...evidence, ...adopted, ...(isBlamedWrongly && this.#replyLimit.take(from, nowMs) ? [{kind: 'reply', to: from} as const] : [])];
	}

	#noteSoundElsewhere({part, ageMs}: SoundPart, nowMs: number): readonly QuarantineEffect[] {
		const atMs = nowMs - ageMs;
		const sinceMs = this.#verdicts.sinceMs(part);
		if (sinceMs === undefined && !this.#suspected.has(part) && !this.#questioned.has(part)) {
			return [];
		}

		const isNew = this.#soundMs(part) === undefined;
		this.#setSoundElsewhere(part, atMs);
		const lifted = sinceMs !== undefined && atMs > sinceMs ? this.#lift(part, 'answered', false) : [];
		return isNew ? [...lifted, {kind: 'spread'}] : lifted;
	}

	#setSoundElsewhere(part: string, atMs: number): void {
		this.#soundElsewhere.set(part, Math.max(atMs, this.#soundElsewhere.get(part) ?? -Infinity));
		if (this.#soundElsewhere.size > MAX_SOUND_ELSEWHERE) {
			const [oldest] = this.#soundElsewhere.keys();
			this.#soundElsewhere.delete(oldest!);
		}
	}

	/** Handles new evidence. `confirmed` are the ends that are certain and were not before, or have new suspects. */
	#onEvidence(confirmed: readonly EndRecord[], nowMs: number): readonly QuarantineEffect[] {
		const ended: QuarantineEffect[] = [];
		for (const record of confirmed.filter(({isLogged}) => !isLogged)) {
			const {target, bornMs, suspects, observers} = record;
			record.isLogged = true;
			ended.push({
				kind: 'ended', process: {target, bornMs}, observers: [...observers],
				suspects: [...suspects].map(([requestHash, {parts}]): SuspectRequest => ({requestHash, parts})),
			});
		}

		this.#suspected = this.#findSuspected(nowMs);
		for (const part of this.#suspectedSince.keys()) {
			if (!this.#suspected.has(part)) {
				this.#suspectedSince.delete(part);
			}
		}

		for (const part of this.#suspected.keys()) {
			if (!this.#suspectedSince.has(part)) {
				this.#suspectedSince.set(part, nowMs);
			}
		}

		const records = this.#ends.all();
		this.#dueVerdict = findCulprit(records, this.#blame)?.part;
		this.#pausedUntil = this.#findPaused(records);
		return ended.length > 0 ? [...ended, {kind: 'spread'}] : [];
	}

	/** Condemns the parts for which the evidence suffices and has stood for long enough. */
	#decide(nowMs: number): readonly QuarantineEffect[] {
		const effects: QuarantineEffect[] = [];
		let culprit = findCulprit(this.#ends.all(), this.#blame);
		while (culprit && nowMs - (this.#suspectedSince.get(culprit.part) ?? nowMs) >= MIN_HEARING_MS) {
			const {part, ends} = culprit;
			this.#verdicts.add(part, {decidedBy: this.#vm, ends: ends.length}, nowMs);
			effects.push(...this.#condemnedEffect(part, this.#vm, ends), {kind: 'spread'});
			culprit = findCulprit(this.#ends.all(), this.#blame);
		}

		this.#dueVerdict = culprit?.part;
		if (effects.length > 0) {
			this.#suspected = this.#findSuspected(nowMs);
			this.#pausedUntil = this.#findPaused(this.#ends.all());
		}

		return effects;
	}

	/**
	 * Returns until when requests with accused parts are refused. These parts are let through one after
	 * the other, in an order that all VMs agree on, so that the guilty one ends its target alone.
	 */
	#findPaused(records: readonly EndRecord[]): ReadonlyMap<string, number> {
		const accused = findAccused(records, this.#blame).toSorted((a, b) => hash32(a.part) - hash32(b.part));
		const lastEndMs = Math.max(-Infinity, ...accused.map(({ends}) => ends.at(-1)?.atMs ?? -Infinity));
		return new Map(accused.map(({part}, rank) => [part, lastEndMs + (MIN_HEARING_MS * (Math.min(rank, MAX_TURNS) + 1))]));
	}

	#condemnedEffect(part: string, decidedBy: string, ends: readonly EndRecord[]): readonly QuarantineEffect[] {
		return [{
			kind: 'condemned', part, decidedBy, isOwn: decidedBy === this.#vm, ends: ends.map(({target, bornMs}) => ({target, bornMs})),
		}];
	}

	#findSuspected(nowMs: number): ReadonlyMap<string, number> {
		const suspected = new Map<string, number>();
		for (const record of this.#ends.all().filter(({atMs}) => nowMs - atMs < SUSPICION_MS)) {
			for (const part of blamedRequests(record, this.#blame).flatMap(({parts}) => parts)) {
				suspected.set(part, Math.max(record.atMs, suspected.get(part) ?? -Infinity));
			}
		}

		return suspected;
	}

	/** Returns the parts that others may suspect or condemn although their requests were answered here. */
	#soundReport(nowMs: number): readonly SoundPart[] {
		const parts = new Set([...this.#verdicts.parts, ...this.#suspected.keys(), ...this.#questioned.keys()]);
		return [...parts].flatMap(part => {
			const atMs = this.#soundMs(part);
			return atMs === undefined ? [] : [{part, ageMs: Math.max(0, nowMs - atMs)}];
		}).slice(0, MAX_REPORTED_SOUND);
	}
}
