/**
 * Decides when an operator's row that is missing counts as removed after the store has come back
 * from an older copy. The operator writes its rows again, one after the other. What they ordered
 * stays in force until one of them has arrived and the others have had time to follow.
 */

/** Milliseconds from the operator's first row of a new era within which its other rows arrive. */
const OPERATOR_GRACE_MS = 2500;
/** Milliseconds after which a missing row counts as removed although no row of the operator has arrived. Then the copy had them all. */
const MAX_MISSING_MS = 30_000;

export class RestoredOrders {
	#restoredMs = -Infinity;
	#firstRowMs: number | undefined;

	/** Handles the beginning of a new era of the store. */
	startEra(nowMs: number): void {
		this.#restoredMs = nowMs;
		this.#firstRowMs = undefined;
	}

	/** Records a change of one of the operator's rows. Returns whether it is the first one of a new era. */
	noteChange(nowMs: number): boolean {
		const isFirst = this.#firstRowMs === undefined && nowMs < this.#restoredMs + MAX_MISSING_MS;
		this.#firstRowMs ??= nowMs;
		return isFirst;
	}

	/** Returns the time from which missing rows count as removed, as far as known now. */
	missingCountsFromMs(): number {
		return Math.min(this.#restoredMs + MAX_MISSING_MS, (this.#firstRowMs ?? Infinity) + OPERATOR_GRACE_MS);
	}

	/** Whether a row may be one that the operator writes again, so that an equal row is the same order. */
	mayBeRewritten(nowMs: number): boolean {
		return nowMs < this.#restoredMs + MAX_MISSING_MS;
	}
}
