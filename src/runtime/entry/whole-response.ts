/**
 * Reads responses that are not streams. A response is collected and checked before the caller gets
 * its first byte, so that the caller gets a refusal instead of a broken response. Plain responses
 * that are too long to collect are passed through while they arrive.
 */
import {Buffer} from 'node:buffer';
import * as z from 'zod';
import {headerCost, usageCost} from '../../core/attempt/cost.js';
import {type FaultReason} from '../../core/attempt/types.js';
import {type ResponseReader, type ReaderContext} from './response-reader.js';
import {headersForCaller, lengthHeader, oneHeader} from './headers.js';

/** Most bytes of a plain response that are collected. A longer response is passed through. */
const PLAIN_BUFFER_BYTES = 256 * 1024;
/** Most bytes of a model's response, which is always checked as a whole. */
const MODEL_BUFFER_BYTES = 16 * 1024 * 1024;

const usageSchema = z.looseObject({prompt_tokens: z.number().nonnegative(), completion_tokens: z.number().nonnegative()});
const completionSchema = z.looseObject({id: z.string(), usage: usageSchema});

type CheckResult = {readonly cost: number} | {readonly fault: FaultReason};

const parseJson = (text: string): unknown => {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
};

const checkCompletion = (requestId: string, body: Uint8Array): CheckResult => {
	const parsed = completionSchema.safeParse(parseJson(Buffer.from(body).toString()));
	if (!parsed.success) {
		return {fault: 'malformed'};
	}

	return parsed.data.id === requestId ? {cost: usageCost(parsed.data.usage)} : {fault: 'crossed'};
};

/** Creates a reader for a response that is not a stream of events. */
export const readWholeResponse = (ctx: ReaderContext): ResponseReader => {
	const isCompletion = ctx.job.mode !== 'plain' && ctx.status === 200;
	const isModel = ctx.job.mode !== 'plain';
	const chunks: Uint8Array[] = [];
	let size = 0;
	let isPassingThrough = false;
	const plainCost = isModel ? 0 : headerCost(oneHeader(ctx.headers, 'x-cost'));

	const passOn = (bytes: Uint8Array) => {
		if (!ctx.response.mayTake(bytes.length)) {
			ctx.onFailed('too-large', plainCost);
		} else if (!ctx.response.write(bytes)) {
			ctx.pause();
		}
	};

	const startPassThrough = () => {
		isPassingThrough = true;
		ctx.onDelivering();
		const length = oneHeader(ctx.headers, 'content-length');
		ctx.response.begin(ctx.status, {...headersForCaller(ctx.headers), ...(length !== undefined && {'content-length': length})}, 'bytes');
		passOn(Buffer.concat(chunks));
	};

	const deliver = (body: Uint8Array) => {
		const checked = isCompletion ? checkCompletion(ctx.job.requestId, body) : {cost: plainCost};
		if ('fault' in checked) {
			ctx.onDropped(checked.fault);
			ctx.onFailed(checked.fault, 0);
			return;
		}

		ctx.response.begin(ctx.status, {...headersForCaller(ctx.headers), ...lengthHeader(ctx.job.request.method, ctx, body.length)}, 'bytes');
		ctx.response.end(body);
		ctx.onAnswered(checked.cost);
	};

	return {
		onData(chunk) {
			if (isPassingThrough) {
				passOn(chunk);
				return;
			}

			chunks.push(chunk);
			size += chunk.length;
			if (isModel && size > MODEL_BUFFER_BYTES) {
				ctx.onFailed('too-large', 0);
			} else if (!isModel && size > PLAIN_BUFFER_BYTES) {
				startPassThrough();
			}
		},
		onEnd() {
			if (isPassingThrough) {
				ctx.response.end();
				ctx.onAnswered(plainCost);
			} else {
				deliver(Buffer.concat(chunks));
			}
		},
		onBroken() {
			ctx.onFailed('link-broken', plainCost);
		},
		cost: () => plainCost,
	};
};
