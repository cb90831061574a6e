/** A reservation of capacity at a model engine, as it is requested from the engine's owner and replied to. */
import {type Prompt} from '../dispatch/types.js';
import {type Precedence} from './start-limits.js';

/** A reservation request: the capacity that a VM needs at an engine for one prompt. */
export type Reservation = {
	/** Id of the grant that the reservation leads to. */
	readonly id: string;
	readonly target: string;
	readonly prompt: Prompt;
	/** The prompt's `prefixKeys`. */
	readonly keys: readonly number[];
	/** Leading tokens that the target would copy from another one. */
	readonly copiedTokens: number;
	readonly targetLatencyMs: number;
	readonly waitedMs: number;
	readonly isResumed: boolean;
	/** Hash of the team's name; 0 if the requesting VM does not send it. */
	readonly teamKey: number;
	/** Whether the request may be put in line until the target has capacity for it. */
	readonly mayWait: boolean;
} & Precedence;

/** An owner's reply to a reservation request, with the figures on which the decision is based. */
export type ReservationAnswer = {
	readonly target: string;
	readonly isGranted: boolean;
	/** Leading tokens of the prompt that the target has prefilled and cached, which other targets can copy. */
	readonly keptTokens: number;
	/** Milliseconds until the same request may be admitted; 0 when granted. */
	readonly retryAfterMs: number;
	/** When granted: milliseconds after which the requesting VM sends the request at the latest. More than 0 while a shared prefix is being prefilled; once it is prefilled, the owner sends a second reply with 0. */
	readonly startAfterMs: number;
	/** When not granted: milliseconds for which the request is in line at the most, within which a second reply follows; 0 when declined. */
	readonly queuedMs: number;
	/** Whether requests are in line for the target, or were a moment ago. */
	readonly hasLine: boolean;
	/** Requests at the target. */
	readonly running: number;
	/** Prompt tokens that the target has not prefilled yet, including those of this request when it is granted. */
	readonly readingTokens: number;
	/** Predicted milliseconds to first token. */
	readonly predictedMs: number;
};
