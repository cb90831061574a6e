import {type ExpectedOutput} from '../../standins/engine/tokens.js';
import {type LoadMix} from './settings.js';

/** A generated request. */
export type RequestPlan = {
	readonly team: string;
	readonly service: string;
	readonly kind: LoadMix['kind'];
	/** The caller's own id of the request, unique across runs; targets record it. */
	readonly nonce: string;
	readonly method: 'GET' | 'POST';
	readonly path: string;
	readonly body: string | undefined;
	readonly headers: Readonly<Record<string, string>>;
	readonly streamed: boolean;
	/** Nonce and token count that the complete output of a model engine has. */
	readonly wanted: ExpectedOutput;
	readonly deadlineMs: number;
	/** Actual cost in cost units; a cost hint may differ from it. */
	readonly cost: number;
};

/** Outcome of one attempt. */
export type Attempt =
	| {readonly kind: 'answered'; readonly requestId: string; readonly cost: number}
	| {
		readonly kind: 'refused';
		readonly requestId: string;
		readonly reason: string;
		readonly notRun: boolean;
		readonly retryAfterMs: number;
	}
	/** The response belongs to another request. */
	| {readonly kind: 'crossed'; readonly requestId: string; readonly detail: string}
	/** The streamed response repeats an event. */
	| {readonly kind: 'doubled'; readonly requestId: string; readonly detail: string}
	/** The response is missing, malformed or incomplete, and is not a refusal. */
	| {readonly kind: 'lost'; readonly requestId: string; readonly detail: string}
	/** The connection broke, so the caller knows that the response is incomplete. */
	| {readonly kind: 'broken'; readonly requestId: string; readonly detail: string}
	/** The router did not accept the connection, so nothing was sent. */
	| {readonly kind: 'unreachable'; readonly requestId: string; readonly detail: string};

/** An attempt with its start and end, in milliseconds since the epoch. */
export type TimedAttempt = Attempt & {readonly startMs: number; readonly endMs: number};

/** Outcome of a request after its last attempt. */
export type RequestResult = {
	readonly plan: RequestPlan;
	readonly attempts: readonly TimedAttempt[];
	readonly last: Attempt;
	/** Start of the first attempt, in milliseconds since the epoch; `endMs` is the end of the last one. */
	readonly startMs: number;
	readonly endMs: number;
};
