/**
 * Checks that a streamed response is complete: every token of its request arrives exactly once
 * and in order, up to the end mark of the model engine.
 */

/** Token counts that a model engine reports at the end of a response. */
export type Usage = {
	readonly prompt_tokens: number;
	readonly completion_tokens: number;
};

/** Parsed fields of one event of a stream. */
export type StreamEvent = {
	/** Id of the request that the event belongs to. */
	readonly id: string;
	/** Position of the event's token; absent in events without a token. */
	readonly offset?: number;
	readonly usage?: Usage;
};

export type StreamState = {
	readonly requestId: string;
	/** Offset of the token that is expected next. */
	readonly nextOffset: number;
	readonly usage?: Usage;
	/** True once the end mark has arrived and no token is missing. */
	readonly done: boolean;
};

/**
 * Result of the check of an event. `forward`: the event goes to the caller. `duplicate`: it is
 * dropped. `gap`: tokens are missing, and the stream has to be resumed at `nextOffset`.
 * `crossed`: the event belongs to another request.
 */
export type StreamVerdict = 'forward' | 'duplicate' | 'gap' | 'crossed';

export const initialStream = (requestId: string): StreamState => ({requestId, nextOffset: 0, done: false});

/** Checks one event against the tokens that have arrived. */
export const handleStreamEvent = (state: StreamState, event: StreamEvent): {readonly state: StreamState; readonly verdict: StreamVerdict} => {
	if (event.id !== state.requestId) {
		return {state, verdict: 'crossed'};
	}

	const {offset} = event;
	if (offset !== undefined && offset < state.nextOffset) {
		return {state, verdict: 'duplicate'};
	}

	if (offset !== undefined && offset > state.nextOffset) {
		return {state, verdict: 'gap'};
	}

	const nextOffset = offset === undefined ? state.nextOffset : offset + 1;
	return {state: {...state, nextOffset, ...(event.usage && {usage: event.usage})}, verdict: 'forward'};
};

/** Handles the end mark. The verdict is `gap` unless as many tokens have arrived as the model engine reports. */
export const handleStreamEnd = (state: StreamState): {readonly state: StreamState; readonly verdict: 'forward' | 'gap'} =>
	state.usage?.completion_tokens === state.nextOffset
		? {state: {...state, done: true}, verdict: 'forward'}
		: {state, verdict: 'gap'};
