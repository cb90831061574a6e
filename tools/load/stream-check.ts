/** Checks the events of a streamed response as they arrive. */
import * as z from 'zod';
import {tokenText} from '../../standins/engine/tokens.js';
import {
	choiceSchema, costOf, lostAttempt, parseJson, readRefusal, refusalSchema, usageSchema,
} from './check-response.js';
import {type Attempt, type RequestPlan} from './types.js';

const eventSchema = z.object({
	offset: z.number().int(),
	choices: z.array(choiceSchema).min(1),
	usage: usageSchema.optional(),
});

/** Checks that the events of a stream are complete, in order and of the right request; keeps the first fault. */
export class StreamCheck {
	#nextOffset = 0;
	#cost: number | undefined;
	#done = false;
	#fault: Attempt | undefined;

	readonly #plan: RequestPlan;
	readonly #requestId: string;

	constructor(plan: RequestPlan, requestId: string) {
		this.#plan = plan;
		this.#requestId = requestId;
	}

	/** Records the data of one event. */
	recordEvent(data: string): void {
		if (data === '[DONE]') {
			this.#done = true;
			return;
		}

		const json = parseJson(data);
		if (refusalSchema.safeParse(json).success) {
			this.#fault ??= readRefusal(data, 200, this.#requestId);
			return;
		}

		const result = eventSchema.safeParse(json);
		if (result.success) {
			this.#checkEvent(result.data);
		} else {
			this.#fault ??= lostAttempt(this.#requestId, `malformed event: ${data.slice(0, 100)}`);
		}
	}

	/** Returns the outcome of the attempt after the stream has ended. */
	finish(): Attempt {
		if (this.#fault) {
			return this.#fault;
		}

		if (!this.#done || this.#nextOffset < this.#plan.wanted.tokens || this.#cost === undefined) {
			return lostAttempt(this.#requestId, `stream ended at ${this.#nextOffset} of ${this.#plan.wanted.tokens}${this.#done ? ' with an end marker' : ''}`);
		}

		return {kind: 'answered', requestId: this.#requestId, cost: this.#cost};
	}

	#checkEvent({offset, choices, usage}: z.output<typeof eventSchema>): void {
		const text = choices[0]?.text ?? choices[0]?.delta?.content ?? '';
		if (offset < this.#nextOffset) {
			this.#fault ??= {kind: 'doubled', requestId: this.#requestId, detail: `offset ${offset} after ${this.#nextOffset - 1}`};
		} else if (offset > this.#nextOffset) {
			this.#fault ??= lostAttempt(this.#requestId, `offset ${offset} after ${this.#nextOffset - 1}`);
		} else if (text !== tokenText(this.#plan.wanted.nonce, offset)) {
			this.#fault ??= {kind: 'crossed', requestId: this.#requestId, detail: text.slice(0, 60)};
		}

		this.#nextOffset = offset + 1;
		this.#cost = usage ? costOf(usage) : this.#cost;
	}
}
