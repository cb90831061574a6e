/**
 * Keeps the prompt parts that are condemned. A verdict ends when a request with the part is
 * answered, when no request with it has arrived for a long time, or by an operator. A few
 * requests are let through at long intervals to check it, so that a wrong verdict does not last.
 */
import {type Judgement, type VerdictReport} from './types.js';

/** Most verdicts; a further one displaces the one whose requests were seen least recently. */
const MAX_VERDICTS = 64;
/** Milliseconds after which a verdict without requests ends. */
const QUIET_MS = 600_000;
/** Milliseconds from a verdict to each of its checks. Every check of a right verdict ends a target. */
const CHECK_AFTER_MS: readonly number[] = [15_000, 900_000];
/** Retry-After in milliseconds once a verdict is no longer checked. */
const UNCHECKED_RETRY_AFTER_MS = 600_000;
/** VMs that must report a verdict for which this VM has no sufficient evidence of its own. */
const MIN_REPORTERS = 2;
/** Parts that were reported as condemned by too few VMs and are remembered. */
const MAX_CLAIMS = 64;

type Verdict = {
	readonly part: string;
	readonly decidedBy: string;
	readonly ends: number;
	sinceMs: number;
	seenMs: number;
	checks: number;
};

export class Verdicts {
	readonly #verdicts = new Map<string, Verdict>();
	/** VMs that reported a verdict which is not in force here, by part. */
	readonly #claims = new Map<string, Set<string>>();

	get size(): number {
		return this.#verdicts.size;
	}

	get parts(): readonly string[] {
		return [...this.#verdicts.keys()];
	}

	has(part: string): boolean {
		return this.#verdicts.has(part);
	}

	/** Returns how often a verdict was checked; undefined if the part is not condemned. */
	checks(part: string): number | undefined {
		return this.#verdicts.get(part)?.checks;
	}

	sinceMs(part: string): number | undefined {
		return this.#verdicts.get(part)?.sinceMs;
	}

	add(part: string, {decidedBy, ends = 0, checks = 0}: {readonly decidedBy: string; readonly ends?: number; readonly checks?: number}, nowMs: number): void {
		this.#claims.delete(part);
		this.#verdicts.set(part, {
			part, decidedBy, ends, sinceMs: nowMs, seenMs: nowMs, checks,
		});
		if (this.#verdicts.size > MAX_VERDICTS) {
			const [oldest] = [...this.#verdicts.values()].toSorted((a, b) => a.seenMs - b.seenMs);
			this.#verdicts.delete(oldest!.part);
		}
	}

	lift(part: string): boolean {
		return this.#verdicts.delete(part);
	}

	/** Merges a verdict that another VM reports; returns whether it is in force here from now on and was not before. */
	merge(from: string, {part, decidedBy, ageMs, seenAgeMs, checks, ends}: VerdictReport, nowMs: number): boolean {
		const known = this.#verdicts.get(part);
		if (known) {
			known.seenMs = Math.max(known.seenMs, nowMs - seenAgeMs);
			known.sinceMs = Math.min(known.sinceMs, nowMs - ageMs);
			known.checks = Math.max(known.checks, checks);
			return false;
		}

		const claim = this.#claims.get(part) ?? new Set();
		claim.add(from);
		if (claim.size < MIN_REPORTERS) {
			if (this.#claims.size < MAX_CLAIMS) {
				this.#claims.set(part, claim);
			}

			return false;
		}

		this.add(part, {decidedBy, ends, checks}, nowMs);
		const verdict = this.#verdicts.get(part);
		if (verdict) {
			verdict.sinceMs = nowMs - ageMs;
			verdict.seenMs = nowMs - seenAgeMs;
		}

		return verdict !== undefined;
	}

	/**
	 * Judges a new request.
	 *
	 * @param mayCheck - Whether this VM lets the requests through that check the verdict on a part; one VM of the fleet does.
	 */
	judge(parts: readonly string[], mayCheck: (part: string) => boolean, nowMs: number): Judgement {
		const verdict = this.#verdicts.size === 0 ? undefined : parts.map(part => this.#verdicts.get(part)).find(found => found !== undefined);
		if (!verdict) {
			return {kind: 'pass'};
		}

		verdict.seenMs = nowMs;
		const afterMs = CHECK_AFTER_MS[verdict.checks];
		if (afterMs !== undefined && nowMs >= verdict.sinceMs + afterMs && mayCheck(verdict.part)) {
			verdict.checks++;
			return {kind: 'check', part: verdict.part, checks: verdict.checks};
		}

		const retryAfterMs = afterMs === undefined ? UNCHECKED_RETRY_AFTER_MS : Math.max(1000, verdict.sinceMs + afterMs - nowMs);
		return {kind: 'refuse', part: verdict.part, retryAfterMs};
	}

	/** Removes the verdicts whose requests have ceased; returns their parts. */
	expire(nowMs: number): readonly string[] {
		const quiet = [...this.#verdicts.values()].filter(({seenMs}) => nowMs - seenMs > QUIET_MS).map(({part}) => part);
		for (const part of quiet) {
			this.lift(part);
		}

		return quiet;
	}

	reports(nowMs: number): readonly VerdictReport[] {
		return [...this.#verdicts.values()].map(({part, decidedBy, ends, sinceMs, seenMs, checks}) => ({
			part, decidedBy, ends, checks, ageMs: nowMs - sinceMs, seenAgeMs: Math.max(0, nowMs - seenMs),
		}));
	}
}
