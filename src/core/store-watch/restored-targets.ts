/**
 * Decides which rows of targets count after the store has come back from an older copy. Such a
 * copy may show a target in service that has left since, or announced that it will. The target
 * itself writes its row again if it lives, so a row that contradicts what this VM knows from an
 * earlier era is withheld until the row has changed since it was first read in the new era. A row
 * that was missing in the new era and is back was written in it, so it counts.
 *
 * Fault pattern: a store that loses its last seconds while targets start, drain and leave.
 */
import {type TargetRecord} from '../routing/types.js';

/** Milliseconds for which a target that left is remembered. Copies of the store are some seconds old. */
const GONE_MEMORY_MS = 60_000;

type KnownTarget = {
	readonly record: TargetRecord;
	/** Time at which the target left; undefined while it is in use. */
	readonly goneMs: number | undefined;
	/** Era of the store in which its row was last accepted or missing. */
	readonly era: number;
};

const isSameReport = (a: TargetRecord, b: TargetRecord): boolean => a.bornMs === b.bornMs && a.sequence === b.sequence;

export class RestoredTargets {
	readonly #known = new Map<string, KnownTarget>();
	/** First record of each withheld target in the present era. */
	readonly #withheld = new Map<string, TargetRecord>();
	/** Number of times that the store has come back from an older copy. */
	#era = 0;

	/** Whether any row is withheld. */
	get hasWithheld(): boolean {
		return this.#withheld.size > 0;
	}

	/** Handles the beginning of a new era of the store. */
	startEra(): void {
		this.#era++;
		this.#withheld.clear();
	}

	/** Returns whether a record counts as the target's own report, and records it if so. */
	accept(record: TargetRecord): boolean {
		const known = this.#known.get(record.id);
		if (known && known.era < this.#era && this.#contradicts(record, known)) {
			const first = this.#withheld.get(record.id);
			if (!first || isSameReport(first, record)) {
				this.#withheld.set(record.id, record);
				return false;
			}
		}

		this.#withheld.delete(record.id);
		this.#known.set(record.id, {record, goneMs: undefined, era: this.#era});
		return true;
	}

	/** Records that the store has no row of a target in the present era. */
	noteMissing(id: string): void {
		this.#withheld.delete(id);
		const known = this.#known.get(id);
		if (known) {
			this.#known.set(id, {...known, era: this.#era});
		}
	}

	/** Records which targets have a row, after a read of the whole table in the present era. */
	noteListed(ids: ReadonlySet<string>): void {
		for (const id of this.#known.keys()) {
			if (!ids.has(id)) {
				this.noteMissing(id);
			}
		}
	}

	/** Records that a target has left. */
	noteGone(id: string, nowMs: number): void {
		for (const [other, {goneMs = Infinity}] of this.#known) {
			if (goneMs < nowMs - GONE_MEMORY_MS) {
				this.#known.delete(other);
			}
		}

		const known = this.#known.get(id);
		if (known) {
			this.#known.set(id, {...known, goneMs: known.goneMs ?? nowMs});
		}
	}

	/** Whether a record shows a process in service that this VM knows to leave, to have left or to have been replaced. */
	#contradicts(record: TargetRecord, {record: known, goneMs}: KnownTarget): boolean {
		return record.bornMs < known.bornMs || (record.bornMs === known.bornMs && (goneMs !== undefined || (known.isDraining && !record.isDraining)));
	}
}
