/** Sums and differences of response counts. */
import {type ResponseCounts} from './types.js';

export const zeroCounts: ResponseCounts = {
	complete: 0, failed: 0, timed: 0, late: 0, firstSum: 0, firstSquares: 0, ended: 0, endSum: 0, endSquares: 0,
};

/** Returns `a` plus `factor` times `b`. */
export const addCounts = (a: ResponseCounts, b: ResponseCounts, factor = 1): ResponseCounts => ({
	complete: a.complete + (b.complete * factor),
	failed: a.failed + (b.failed * factor),
	timed: a.timed + (b.timed * factor),
	late: a.late + (b.late * factor),
	firstSum: a.firstSum + (b.firstSum * factor),
	firstSquares: a.firstSquares + (b.firstSquares * factor),
	ended: a.ended + (b.ended * factor),
	endSum: a.endSum + (b.endSum * factor),
	endSquares: a.endSquares + (b.endSquares * factor),
});

export const responsesOf = ({complete, failed}: ResponseCounts): number => complete + failed;
