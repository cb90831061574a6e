/**
 * Finds the prompt part that ends targets among the requests that were in service at their ends.
 *
 * Each end has many requests in service, and each of them shares parts with sound requests. An end
 * is explained by a condemned part, else by parts that were in no answered request, else by parts
 * that were in none since. What a part is blamed for is counted by processes, so that a crash counts
 * once, and by requests, so that one request that is repeated counts once.
 */
import {type EndRecord} from './end-records.js';
import {type SuspectRequest} from './types.js';

/** Ends, and requests in service at them, after which a part that was in no answered request is condemned. */
const MIN_ENDS = 3;
/** The same for a part that was in answered requests before the first of these ends, and in none since. */
const MIN_ENDS_ONCE_SOUND = 5;
/** Ends and requests from which the requests with a part that was never sound are refused for a moment after each end. */
const MIN_ENDS_TO_PAUSE = 2;
/** Least milliseconds between two ends that count separately. Ends at the same moment have a common cause, such as a loss of power. */
const MIN_SEPARATION_MS = 250;
/** Ends within `MIN_SEPARATION_MS` from which they are taken for one event with a cause outside the requests. */
const MIN_COMMON_CAUSE_ENDS = 3;

export type BlameContext = {
	/** Returns when a request with the part was last answered; undefined if none was. */
	readonly soundMs: (part: string) => number | undefined;
	readonly isCondemned: (part: string) => boolean;
};

/** Returns the suspect requests of an end with those of their parts that may be its reason. */
export const blamedRequests = ({atMs, suspects}: Pick<EndRecord, 'atMs' | 'suspects'>, {soundMs, isCondemned}: BlameContext): readonly SuspectRequest[] => {
	const requests = [...suspects].map(([requestHash, {parts}]) => ({requestHash, parts}));
	if (requests.some(({parts}) => parts.some(part => isCondemned(part)))) {
		return [];
	}

	const withParts = (mayBeReason: (part: string) => boolean): readonly SuspectRequest[] => requests
		.map(({requestHash, parts}) => ({requestHash, parts: parts.filter(part => mayBeReason(part))}))
		.filter(({parts}) => parts.length > 0);
	const neverSound = withParts(part => soundMs(part) === undefined);
	return neverSound.length > 0 ? neverSound : withParts(part => (soundMs(part) ?? -Infinity) < atMs);
};

/** What a part is blamed for. */
export type Blame = {
	readonly part: string;
	/** Certain ends that count separately. */
	readonly ends: readonly EndRecord[];
	/** Requests with the part that were in service at certain ends. */
	readonly requests: number;
	/** Largest position of the part in these requests' prompts. */
	readonly position: number;
};

type Tally = {readonly ends: EndRecord[]; readonly requests: Set<number>; position: number};

/** The unexplained ends that happened about when one did, itself included, each with the parts that are blamed for it. */
type Cluster = ReadonlyArray<ReadonlySet<string>>;

/** Whether an end counts against a part: one of many at the same moment does only if the part is blamed for half of them. Two parts may end targets at the same time. */
const countsAgainst = (part: string, cluster: Cluster): boolean =>
	cluster.length < MIN_COMMON_CAUSE_ENDS || cluster.filter(parts => parts.has(part)).length * 2 >= cluster.length;

/** Returns what each part is blamed for by the ends that are certain. */
export const tallyBlame = (records: readonly EndRecord[], ctx: BlameContext): readonly Blame[] => {
	const tallies = new Map<string, Tally>();
	const blamed = records.filter(({isConfirmed}) => isConfirmed).toSorted((a, b) => a.atMs - b.atMs).map(record => {
		const requests = blamedRequests(record, ctx);
		return {record, requests, parts: new Set(requests.flatMap(({parts}) => parts))};
	}).filter(({parts}) => parts.size > 0);
	for (const {record, requests} of blamed) {
		const cluster = blamed.filter(other => Math.abs(other.record.atMs - record.atMs) < MIN_SEPARATION_MS).map(({parts}) => parts);
		for (const {requestHash, parts} of requests) {
			for (const [position, part] of parts.entries()) {
				if (!countsAgainst(part, cluster)) {
					continue;
				}

				const tally = tallies.get(part) ?? {ends: [], requests: new Set(), position: 0};
				tallies.set(part, tally);
				tally.requests.add(requestHash);
				tally.position = Math.max(tally.position, position);
				const last = tally.ends.at(-1);
				if (!last || record.atMs - last.atMs >= MIN_SEPARATION_MS) {
					tally.ends.push(record);
				}
			}
		}
	}

	return [...tallies].map(([part, {ends, requests, position}]) => ({
		part, ends, requests: requests.size, position,
	}));
};

const isGuilty = ({part, ends, requests}: Blame, {soundMs}: BlameContext): boolean =>
	Math.min(ends.length, requests) >= (soundMs(part) === undefined ? MIN_ENDS : MIN_ENDS_ONCE_SOUND);

/**
 * Returns the part with the most evidence, if it suffices. Of parts that are blamed for as many
 * ends, the one in fewer requests and later in the prompt is shared by fewer sound requests.
 */
export const findCulprit = (records: readonly EndRecord[], ctx: BlameContext): Blame | undefined =>
	tallyBlame(records, ctx)
		.filter(blame => isGuilty(blame, ctx))
		.toSorted((a, b) => b.ends.length - a.ends.length || a.requests - b.requests || b.position - a.position || (a.part < b.part ? -1 : 1))[0];

/** Returns the parts that were never sound and are blamed for more than one end. */
export const findAccused = (records: readonly EndRecord[], ctx: BlameContext): readonly Blame[] =>
	tallyBlame(records, ctx).filter(({part, ends, requests}) => Math.min(ends.length, requests) >= MIN_ENDS_TO_PAUSE && ctx.soundMs(part) === undefined);
