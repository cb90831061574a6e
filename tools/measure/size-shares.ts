/**
 * Computes how often the requests of one kind are served by the size of their prompts: the largest tenth, the fifth
 * below it, the rest, and all of them.
 *
 * Source: the users' gate on sizes, by which the largest tenth and the fifth below it are each served at least
 * half as often as the whole kind.
 */
import {type RecordedRequest} from './team-halves.js';

const LARGEST_SHARE = 0.1;
const NEXT_SHARE = 0.2;

/** Shares of the requests that were served, from 0 to 1. */
export type SizeShares = {
	readonly largest: number;
	readonly next: number;
	readonly rest: number;
	readonly all: number;
};

export const sizeShares = (requests: readonly RecordedRequest[], isServed: (request: RecordedRequest) => boolean): SizeShares => {
	const ordered = requests.toSorted((a, b) => b.tokens - a.tokens);
	const largest = Math.round(ordered.length * LARGEST_SHARE);
	const next = largest + Math.round(ordered.length * NEXT_SHARE);
	const shareOf = (part: readonly RecordedRequest[]): number => part.length === 0 ? 1 : part.filter(request => isServed(request)).length / part.length;
	return {
		largest: shareOf(ordered.slice(0, largest)), next: shareOf(ordered.slice(largest, next)), rest: shareOf(ordered.slice(next)), all: shareOf(ordered),
	};
};
