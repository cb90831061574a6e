/**
 * Decides whether a prompt that was sent to a model engine, and has not begun to be
 * answered, is lost.
 *
 * Load pattern: overload, when all prompts start late. A prompt that is given up for a
 * fixed time without an answer is prefilled a second time elsewhere and delays all others.
 * An engine prefills one prompt at a time in order of arrival, so a prompt is lost when one
 * that was sent later to the same run of the engine has begun to be answered, or when the
 * engine has shown no sign of life.
 */

/** Multiple of the latency target without a sign of life after which an engine counts as silent. */
export const SILENCE_TIMEOUT_FACTOR = 1.5;
/** Milliseconds by which prompts that were sent in one order may arrive in another: the way, and a body that is written in parts. */
const ORDER_MARGIN_MS = 50;
/** Prompt tokens below which a later prompt may start beside an earlier one: a decode step takes as long as prefilling 300 to 500 tokens. */
const MIN_PREFILL_TOKENS = 500;
/** Tokens per millisecond of an engine at a third of its least usual speed; by it a prompt that was overtaken gets time for its own prefill. */
const SLOW_TOKENS_PER_MS = 20;

/** A prompt that was sent. */
type Awaited = {
	readonly sentMs: number;
	/** Tokens that the engine has to prefill, as expected. */
	readonly newTokens: number;
	/** Tokens of the whole prompt. */
	readonly promptTokens: number;
	/** Run of the engine that it was sent to. */
	readonly run: number;
	/** When a prompt that was sent later began to be answered. */
	readonly overtakenMs: number | undefined;
};

/** How long a prompt is waited for. */
export type LossCriteria = {
	/** Milliseconds without a sign of life after which the engine counts as silent. */
	readonly silenceMs: number;
	/** Reading of the clock from which silence counts, because this process was stopped before; `-Infinity` if it was not. */
	readonly resumedAtMs: number;
	/** Reading of the clock after which an answer would not reach the caller. */
	readonly retryDeadlineMs: number;
	/** Whether the answer begins when the prompt has been prefilled, so that the order of answers tells. */
	readonly isStream: boolean;
};

export type LossReason = 'overtaken' | 'engine-silent' | 'engine-replaced' | 'caller-leaves';

/** Why a prompt counts as lost, with the inputs that decided it, for the log. */
export type PromptLoss = {
	readonly reason: LossReason;
	readonly sentForMs: number;
	/** Milliseconds since the engine's last sign of life; absent if there was none in this run. */
	readonly activityAgeMs: number | undefined;
	readonly overtakenForMs: number | undefined;
};

/** Prompts of this VM at one engine that have not begun to be answered, and the signs of life that it has shown. */
export class PromptLossDetector {
	readonly #awaited = new Map<string, Awaited>();
	#run = 0;
	#signMs = -Infinity;

	/** Another process answers for the engine from now on. */
	noteRestart(): void {
		this.#run++;
		this.#signMs = -Infinity;
	}

	/** The engine has answered a request of any VM at this moment. */
	noteActivity(atMs: number): void {
		this.#signMs = Math.max(this.#signMs, atMs);
	}

	noteSent(id: string, {newTokens, promptTokens}: Pick<Awaited, 'newTokens' | 'promptTokens'>, nowMs: number): void {
		this.#awaited.set(id, {
			newTokens, promptTokens, sentMs: nowMs, run: this.#run, overtakenMs: undefined,
		});
	}

	/** The first byte is written now, after a wait for a connection. */
	noteWritten(id: string, nowMs: number): void {
		const awaited = this.#awaited.get(id);
		if (awaited) {
			this.#awaited.set(id, {...awaited, sentMs: nowMs});
		}
	}

	/** The first part of the answer has come. */
	noteBegun(id: string, nowMs: number): void {
		const begun = this.#awaited.get(id);
		this.#awaited.delete(id);
		if (begun?.run !== this.#run) {
			return;
		}

		this.noteActivity(nowMs);
		if (begun.newTokens < MIN_PREFILL_TOKENS) {
			return;
		}

		for (const [other, awaited] of this.#awaited) {
			if (awaited.overtakenMs === undefined && awaited.run === begun.run && awaited.sentMs < begun.sentMs - ORDER_MARGIN_MS) {
				this.#awaited.set(other, {...awaited, overtakenMs: nowMs});
			}
		}
	}

	noteEnded(id: string): void {
		this.#awaited.delete(id);
	}

	/** Undefined while the prompt may still start in time for its caller; `not-judged` when nothing is known of it. */
	detectLoss(id: string, {silenceMs, resumedAtMs, retryDeadlineMs, isStream}: LossCriteria, nowMs: number): PromptLoss | 'not-judged' | undefined {
		const awaited = this.#awaited.get(id);
		if (!awaited) {
			return 'not-judged';
		}

		const {sentMs, promptTokens, run, overtakenMs} = awaited;
		const allowanceMs = ORDER_MARGIN_MS + (promptTokens / SLOW_TOKENS_PER_MS);
		const reasons: ReadonlyArray<readonly [LossReason, boolean]> = [
			['engine-replaced', run !== this.#run],
			['overtaken', isStream && overtakenMs !== undefined && nowMs >= Math.max(overtakenMs, resumedAtMs) + allowanceMs],
			['engine-silent', nowMs >= Math.max(sentMs, this.#signMs, resumedAtMs) + silenceMs],
			['caller-leaves', nowMs >= retryDeadlineMs],
		];
		const reason = reasons.find(([, holds]) => holds)?.[0];
		return reason && {
			reason,
			sentForMs: nowMs - sentMs,
			activityAgeMs: this.#signMs === -Infinity ? undefined : nowMs - this.#signMs,
			overtakenForMs: overtakenMs === undefined ? undefined : nowMs - overtakenMs,
		};
	}
}
