/**
 * Detects prompts that were sent to a model engine and will not get a response.
 *
 * Load pattern: overload, when all first tokens are late. A retry after a fixed time without
 * a response has the prompt prefilled a second time at another engine, which delays all other
 * prompts. An engine prefills one prompt at a time in order of arrival. So a prompt counts as
 * lost some time after a prompt that was sent later to the same engine process has its first
 * token. It also counts as lost when the engine has been inactive for too long, when the engine
 * process was replaced, and when a later retry would not reach the caller.
 */

/** Multiple of the latency target after which an engine without activity counts as unresponsive. */
export const SILENCE_TIMEOUT_FACTOR = 1.5;
/** Milliseconds within which prompts may arrive in another order than they were sent, because of network latency and of bodies that are written in chunks. */
const ORDER_MARGIN_MS = 50;
/** Prompt tokens below which an engine may start a later prompt beside an earlier one. A decode step takes as long as the prefill of 300 to 500 tokens. */
const MIN_PREFILL_TOKENS = 500;
/** Prefill rate in tokens per millisecond, a third of the lowest typical rate of an engine. A prompt counts as lost once it has been overtaken for longer than its whole prefill takes at this rate. */
const SLOW_PREFILL_TOKENS_PER_MS = 20;

/** A prompt that was sent and has no first token yet. */
type PendingPrompt = {
	readonly sentMs: number;
	/** Tokens that the engine is expected to prefill. */
	readonly newTokens: number;
	/** Tokens of the whole prompt. */
	readonly promptTokens: number;
	/** Generation of the engine process that the prompt was sent to. */
	readonly generation: number;
	/** Time of the first token of a prompt that was sent later; undefined while there is none. */
	readonly overtakenMs: number | undefined;
};

/** Limits after which a prompt counts as lost. */
export type LossCriteria = {
	/** Milliseconds without activity after which the engine counts as unresponsive. */
	readonly silenceMs: number;
	/** Monotonic time at which this process resumed after a pause; `-Infinity` if it was not paused. Inactivity of the engine before that time does not count. */
	readonly resumedAtMs: number;
	/** Monotonic time after which the response of another target would not reach the caller. */
	readonly retryDeadlineMs: number;
	/** Whether the response is a stream. A stream begins once its prompt is prefilled, so a prompt is overtaken when the stream of a later prompt begins first. */
	readonly isStream: boolean;
};

export type LossReason = 'overtaken' | 'engine-silent' | 'engine-replaced' | 'caller-leaves';

/** Why a prompt counts as lost, with the inputs of that decision for the log. */
export type PromptLoss = {
	readonly reason: LossReason;
	/** Milliseconds since the prompt was sent. */
	readonly sentForMs: number;
	/** Milliseconds since the last activity of the engine process; undefined if there was none. */
	readonly activityAgeMs: number | undefined;
	/** Milliseconds since the prompt was overtaken; undefined if it was not. */
	readonly overtakenForMs: number | undefined;
};

/** Tracks the prompts of this VM that wait for their first token at one engine, and the engine's last activity. */
export class PromptLossDetector {
	readonly #pending = new Map<string, PendingPrompt>();
	#generation = 0;
	#activityMs = -Infinity;

	/** Records that another process has replaced the engine's. */
	noteReplaced(): void {
		this.#generation++;
		this.#activityMs = -Infinity;
	}

	/** Records that the engine responded to a request of any VM at `atMs`. */
	noteActivity(atMs: number): void {
		this.#activityMs = Math.max(this.#activityMs, atMs);
	}

	noteSent(id: string, {newTokens, promptTokens}: Pick<PendingPrompt, 'newTokens' | 'promptTokens'>, nowMs: number): void {
		this.#pending.set(id, {
			newTokens, promptTokens, sentMs: nowMs, generation: this.#generation, overtakenMs: undefined,
		});
	}

	/** Records that the first byte of the request is written. A request may have waited for a connection before that. */
	noteWritten(id: string, nowMs: number): void {
		const pending = this.#pending.get(id);
		if (pending) {
			this.#pending.set(id, {...pending, sentMs: nowMs});
		}
	}

	/** Records the first chunk of a response. Unless its prompt had few tokens to prefill, the prompts that were sent before it are marked as overtaken. */
	noteFirstChunk(id: string, nowMs: number): void {
		const started = this.#pending.get(id);
		this.#pending.delete(id);
		if (started?.generation !== this.#generation) {
			return;
		}

		this.noteActivity(nowMs);
		if (started.newTokens < MIN_PREFILL_TOKENS) {
			return;
		}

		for (const [otherId, pending] of this.#pending) {
			if (pending.overtakenMs === undefined && pending.generation === started.generation && pending.sentMs < started.sentMs - ORDER_MARGIN_MS) {
				this.#pending.set(otherId, {...pending, overtakenMs: nowMs});
			}
		}
	}

	noteEnded(id: string): void {
		this.#pending.delete(id);
	}

	/** Returns why a prompt counts as lost. The result is undefined while the prompt does not count as lost, and `not-judged` when it is not tracked. */
	detectLoss(id: string, {silenceMs, resumedAtMs, retryDeadlineMs, isStream}: LossCriteria, nowMs: number): PromptLoss | 'not-judged' | undefined {
		const pending = this.#pending.get(id);
		if (!pending) {
			return 'not-judged';
		}

		const {sentMs, promptTokens, generation, overtakenMs} = pending;
		const prefillAllowanceMs = ORDER_MARGIN_MS + (promptTokens / SLOW_PREFILL_TOKENS_PER_MS);
		const reasons: ReadonlyArray<readonly [LossReason, boolean]> = [
			['engine-replaced', generation !== this.#generation],
			['overtaken', isStream && overtakenMs !== undefined && nowMs >= Math.max(overtakenMs, resumedAtMs) + prefillAllowanceMs],
			['engine-silent', nowMs >= Math.max(sentMs, this.#activityMs, resumedAtMs) + silenceMs],
			['caller-leaves', nowMs >= retryDeadlineMs],
		];
		const reason = reasons.find(([, holds]) => holds)?.[0];
		return reason && {
			reason,
			sentForMs: nowMs - sentMs,
			activityAgeMs: this.#activityMs === -Infinity ? undefined : nowMs - this.#activityMs,
			overtakenForMs: overtakenMs === undefined ? undefined : nowMs - overtakenMs,
		};
	}
}
