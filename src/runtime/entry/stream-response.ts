/**
 * Reads streamed responses. Each event is checked (request id, offset) and passed on; a broken
 * stream is resumed at the offset of the first missing token.
 */
import {Buffer} from 'node:buffer';
import {createParser, type EventSourceMessage} from 'eventsource-parser';
import * as z from 'zod';
import {usageCost} from '../../core/attempt/cost.js';
import {
	handleStreamEnd, handleStreamEvent, initialStream, type StreamEvent, type StreamState,
} from '../../core/attempt/stream.js';
import {type ResponseReader, type ReaderContext} from './response-reader.js';
import {headersForCaller} from './headers.js';

const END_MARK = '[DONE]';

const eventSchema = z.looseObject({
	id: z.string(),
	offset: z.number().int().nonnegative().optional(),
	usage: z.looseObject({prompt_tokens: z.number().nonnegative(), completion_tokens: z.number().nonnegative()}).nullish(),
});

const parseEvent = (data: string): StreamEvent | undefined => {
	try {
		const {data: event} = eventSchema.safeParse(JSON.parse(data));
		return event && {id: event.id, ...(event.offset !== undefined && {offset: event.offset}), ...(event.usage && {usage: event.usage})};
	} catch {
		return undefined;
	}
};

/** Requests the rest of a broken stream from an offset on. */
export type ResumeStream = (offset: number) => void;

/** A reader that can continue with the events of a resumed stream. */
export type StreamReader = ResponseReader & {
	/** Resets the parser, to read the events of a new connection from their beginning. */
	readonly restart: () => void;
};

/** Creates a reader for a stream of events. `resume` is called whenever the stream breaks before its end. */
export const readStreamResponse = (ctx: ReaderContext, resume: ResumeStream): StreamReader => {
	let state: StreamState = initialStream(ctx.job.requestId);
	let decoder = new TextDecoder();
	let out = '';
	let broken = false;
	let begun = false;

	const breakOff = () => {
		if (!broken && !state.done) {
			broken = true;
			resume(state.nextOffset);
		}
	};

	const onEndMark = () => {
		const ended = handleStreamEnd(state);
		state = ended.state;
		if (ended.verdict === 'gap') {
			breakOff();
		} else {
			out += `data: ${END_MARK}\n\n`;
		}
	};

	const onEvent = ({data}: EventSourceMessage) => {
		if (broken || state.done) {
			return;
		}

		if (data === END_MARK) {
			onEndMark();
			return;
		}

		const event = parseEvent(data);
		const checked = event && handleStreamEvent(state, event);
		if (checked?.verdict === 'forward') {
			state = checked.state;
			out += `data: ${data}\n\n`;
			return;
		}

		ctx.onDropped(checked ? `event-${checked.verdict}` : 'event-malformed');
		if (checked?.verdict !== 'duplicate') {
			breakOff();
		}
	};

	let parser = createParser({onEvent});
	const cost = () => state.usage ? usageCost(state.usage) : state.nextOffset;

	/** Begins the caller's response, unless it has begun. Until then the request can still be sent to another target. */
	const beginOnce = () => {
		if (!begun) {
			begun = true;
			ctx.onDelivering();
			ctx.response.begin(ctx.status, headersForCaller(ctx.headers), 'events');
		}
	};

	const flush = () => {
		if (out === '') {
			return;
		}

		beginOnce();
		const events = Buffer.from(out);
		out = '';
		if (!ctx.response.mayTake(events.length)) {
			ctx.onFailed('too-large', cost());
		} else if (!ctx.response.write(events)) {
			ctx.pause();
		}
	};

	const endWhenDone = () => {
		if (state.done) {
			ctx.response.end();
			ctx.onAnswered(cost());
		}
	};

	return {
		onData(chunk) {
			if (state.done) {
				return;
			}

			parser.feed(decoder.decode(chunk, {stream: true}));
			flush();
			endWhenDone();
		},
		onEnd: breakOff,
		onBroken: breakOff,
		cost,
		restart() {
			decoder = new TextDecoder();
			parser = createParser({onEvent});
			broken = false;
		},
	};
};
