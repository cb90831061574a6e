/** Counts how requests ended, grouped by the time at which they were first sent. */
import {type RequestResult} from '../load/types.js';

const INTERVAL_MS = 5000;

export type TimelineInterval = {
	/** Start of the interval, as time after the first request. */
	readonly fromMs: number;
	readonly asked: number;
	readonly answered: number;
	/** Mean time from the first attempt to the response, over the answered requests. */
	readonly answerMs: number;
};

const summarizeInterval = (fromMs: number, results: readonly RequestResult[]): TimelineInterval => {
	const answered = results.filter(({last}) => last.kind === 'answered');
	let totalMs = 0;
	for (const {startMs, endMs} of answered) {
		totalMs += endMs - startMs;
	}

	return {
		fromMs, asked: results.length, answered: answered.length, answerMs: Math.round(totalMs / Math.max(1, answered.length)),
	};
};

/** Groups requests into intervals of five seconds. */
export const timelineOf = (results: readonly RequestResult[]): readonly TimelineInterval[] => {
	const starts = results.map(({startMs}) => startMs).toSorted((a, b) => a - b);
	const firstMs = starts.at(0) ?? 0;
	const lastMs = starts.at(-1) ?? 0;
	const count = results.length === 0 ? 0 : Math.floor((lastMs - firstMs) / INTERVAL_MS) + 1;
	return Array.from({length: count}, (_, index) => {
		const fromMs = index * INTERVAL_MS;
		const within = results.filter(({startMs}) => startMs - firstMs >= fromMs && startMs - firstMs < fromMs + INTERVAL_MS);
		return summarizeInterval(fromMs, within);
	});
};
