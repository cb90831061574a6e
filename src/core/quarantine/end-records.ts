/**
 * Records the ends of target processes with the requests that were in service there. An end
 * counts once, however many VMs saw it and however many requests it broke. A claim of another VM
 * counts only once this VM has seen the end itself, its entry in the store is gone, or two VMs
 * have seen it, so that one forged datagram proves nothing.
 */
import {type EndReport, type SuspectRequest, type TargetProcess} from './types.js';

/** Ends that are remembered. */
const MAX_ENDS = 64;
/** Suspect requests that are remembered for each end. */
const MAX_SUSPECTS = 32;
/** Parts that are considered of each request. */
const MAX_PARTS = 16;
/** Observers that are remembered for each end. */
const MAX_OBSERVERS = 4;
/** VMs that have to have seen an end which this VM has no sign of. */
const MIN_OBSERVERS = 2;
/** Milliseconds for which evidence is kept. */
const EVIDENCE_MS = 600_000;
/**
 * Most milliseconds from a broken connection to the sign that the process has ended. A process that
 * ends closes all its connections, so the sign comes at once; an earlier break had another cause.
 */
const MAX_SIGN_DELAY_MS = 2000;
/** Milliseconds for which a sign that a process has ended waits for the end that it confirms. */
const SIGN_MS = 10_000;
/** Milliseconds for which an end is reported to other VMs, long enough to reach each VM of a large fleet in some rounds of reports. */
export const END_REPORT_MS = 12_000;
/** Ends in one report. */
const MAX_REPORTED = 6;

export type EndRecord = TargetProcess & {
	atMs: number;
	/** Whether the end is certain. */
	isConfirmed: boolean;
	/** Whether the end was reported to the log. */
	isLogged: boolean;
	readonly observers: Set<string>;
	/** Parts of the requests in service, by the hash of the request's id. */
	readonly suspects: Map<number, {readonly parts: readonly string[]; readonly brokeMs: number}>;
};

const keyOf = ({target, bornMs}: TargetProcess): string => `${target}|${bornMs}`;

export class EndRecords {
	readonly #vm: string;
	readonly #records = new Map<string, EndRecord>();
	/** Processes that were claimed to have ended and responded since, with the time of the request that they responded to. */
	readonly #alive = new Map<string, number>();
	/** Processes that this VM cannot reach or whose entry is gone, with the time of that sign. */
	readonly #signs = new Map<string, {readonly atMs: number; readonly isObserved: boolean}>();

	constructor(vm: string) {
		this.#vm = vm;
	}

	get size(): number {
		return this.#records.size;
	}

	all(): readonly EndRecord[] {
		return [...this.#records.values()];
	}

	/** Records a request whose connection to the process broke; returns the record. */
	noteBroke(process: TargetProcess, suspect: SuspectRequest, nowMs: number): EndRecord {
		const record = this.#open(process, nowMs);
		this.#addSuspect(record, suspect, nowMs);
		return record;
	}

	/** Records a sign that a process has ended; returns its record if there is one and it was not certain before. */
	noteSign(process: TargetProcess, isObserved: boolean, nowMs: number): EndRecord | undefined {
		const key = keyOf(process);
		this.#signs.set(key, {atMs: nowMs, isObserved: isObserved || (this.#signs.get(key)?.isObserved ?? false)});
		const record = this.#records.get(key);
		return record && this.#confirm(record) ? record : undefined;
	}

	/** Records that a process responded to a request that was sent at `sentMs`: an end before that was none. Returns whether one was recorded. */
	noteAlive(process: TargetProcess, sentMs: number): boolean {
		const key = keyOf(process);
		const record = this.#records.get(key);
		if (!record || record.atMs >= sentMs) {
			return false;
		}

		this.#records.delete(key);
		this.#signs.delete(key);
		this.#alive.set(key, sentMs);
		return true;
	}

	/** Merges what another VM reports of an end; returns the record, or undefined if the report adds nothing. */
	merge(report: EndReport, nowMs: number): EndRecord | undefined {
		const isRefuted = nowMs - report.ageMs < (this.#alive.get(keyOf(report)) ?? -Infinity);
		if (isRefuted || report.ageMs > EVIDENCE_MS || report.suspects.length === 0) {
			return undefined;
		}

		const known = this.#records.get(keyOf(report));
		const endedMs = nowMs - report.ageMs;
		const before = known && {suspects: known.suspects.size, observers: known.observers.size};
		const record = known ?? this.#open(report, endedMs);
		record.atMs = record.isConfirmed ? Math.min(record.atMs, endedMs) : endedMs;
		for (const suspect of report.suspects) {
			this.#addSuspect(record, suspect, endedMs);
		}

		for (const observer of report.observers) {
			if (record.observers.size < MAX_OBSERVERS && observer !== this.#vm) {
				record.observers.add(observer);
			}
		}

		const isNewlyConfirmed = this.#confirm(record);
		const isChanged = !before || record.suspects.size > before.suspects || record.observers.size > before.observers;
		return isNewlyConfirmed || isChanged ? record : undefined;
	}

	/** Returns the recent ends of which there is a sign, newest first, with the suspect requests that `suspectsOf` leaves of each. */
	reports(suspectsOf: (record: EndRecord) => readonly SuspectRequest[], nowMs: number): readonly EndReport[] {
		return this.all().filter(({atMs, isConfirmed, observers}) => (isConfirmed || observers.size > 0) && nowMs - atMs < END_REPORT_MS).toSorted((a, b) => b.atMs - a.atMs).slice(0, MAX_REPORTED).map(record => ({
			target: record.target,
			bornMs: record.bornMs,
			ageMs: nowMs - record.atMs,
			observers: [...record.observers],
			suspects: suspectsOf(record),
		}));
	}

	expire(nowMs: number): void {
		for (const [key, {atMs, isConfirmed}] of this.#records) {
			if (nowMs - atMs > (isConfirmed ? EVIDENCE_MS : SIGN_MS)) {
				this.#records.delete(key);
			}
		}

		for (const [key, {atMs}] of this.#signs) {
			if (nowMs - atMs > SIGN_MS) {
				this.#signs.delete(key);
			}
		}

		for (const [key, sentMs] of this.#alive) {
			if (nowMs - sentMs > EVIDENCE_MS) {
				this.#alive.delete(key);
			}
		}
	}

	#open({target, bornMs}: TargetProcess, atMs: number): EndRecord {
		const key = keyOf({target, bornMs});
		const known = this.#records.get(key);
		if (known) {
			return known;
		}

		const record: EndRecord = {
			target, bornMs, atMs, isConfirmed: false, isLogged: false, observers: new Set(), suspects: new Map(),
		};
		this.#records.set(key, record);
		if (this.#records.size > MAX_ENDS) {
			this.#dropOldest();
		}

		this.#confirm(record);
		return record;
	}

	/** Drops the oldest end that is not certain, or the oldest of all: ends that are only claimed displace no certain ones. */
	#dropOldest(): void {
		const byAge = this.all().toSorted((a, b) => Number(a.isConfirmed) - Number(b.isConfirmed) || a.atMs - b.atMs);
		if (byAge[0]) {
			this.#records.delete(keyOf(byAge[0]));
		}
	}

	#addSuspect(record: EndRecord, {requestHash, parts}: SuspectRequest, brokeMs: number): void {
		const known = record.suspects.get(requestHash);
		if (known !== undefined || record.suspects.size < MAX_SUSPECTS) {
			record.suspects.set(requestHash, {parts: [...new Set([...known?.parts ?? [], ...parts])].slice(0, MAX_PARTS), brokeMs});
		}
	}

	/** Drops the suspects whose connections broke well before the process ended. */
	#dropEarlySuspects(record: EndRecord, endedMs: number): void {
		for (const [requestHash, {brokeMs}] of record.suspects) {
			if (brokeMs < endedMs - MAX_SIGN_DELAY_MS) {
				record.suspects.delete(requestHash);
			}
		}
	}

	/** Returns whether the record has become certain. */
	#confirm(record: EndRecord): boolean {
		const sign = this.#signs.get(keyOf(record));
		if (sign?.isObserved) {
			record.observers.add(this.#vm);
		}

		if (sign && !record.isConfirmed) {
			// An entry that is gone tells of the end some seconds later, so it dates none.
			const endedMs = sign.isObserved ? sign.atMs : record.atMs;
			this.#dropEarlySuspects(record, endedMs);
			record.atMs = Math.min(endedMs, ...[...record.suspects.values()].map(({brokeMs}) => brokeMs));
		}

		const wasConfirmed = record.isConfirmed;
		record.isConfirmed ||= sign !== undefined || record.observers.size >= MIN_OBSERVERS;
		return record.isConfirmed && !wasConfirmed;
	}
}
