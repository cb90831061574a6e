/** Time between the start of an attempt at the caller and its start at a target. */
import {build} from 'hdr-histogram-js';
import {type LoadResult} from '../load/run-load.js';
import {percentilesOf} from '../load/tally.js';

const US_PER_MS = 1000;

/** Returns percentiles in milliseconds over the attempts that a target executed. */
export const queueWaits = (result: LoadResult): Readonly<Record<string, number>> => {
	const histogram = build({lowestDiscernibleValue: 1, highestTrackableValue: 600_000_000, numberOfSignificantValueDigits: 3});
	const starts = new Map([...result.records.values()].flatMap(({runs}) => runs.map(run => [run.request_id, run.start_ms] as const)));
	for (const {attempts} of result.results) {
		for (const attempt of attempts) {
			const startMs = starts.get(attempt.requestId);
			if (startMs !== undefined) {
				histogram.recordValue(Math.max(0, Math.round((startMs - attempt.startMs) * US_PER_MS)));
			}
		}
	}

	return percentilesOf(histogram);
};
