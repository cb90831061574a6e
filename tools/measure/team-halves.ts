/**
 * Finds teams that got less than half of their share for some seconds, from what callers and
 * targets recorded. A team's share of a second is what it asked or what the best served team got,
 * whichever is less. A team counts only in spans in which one of its requests was refused or late in
 * each second.
 *
 * Source: the users' rule FAIR.
 */

const SECOND_MS = 1000;
/** Length of the spans, in seconds. */
const SPAN_S = 6;
/** Requests by which a team's half may be missed. The largest ones are taken. */
const SLACK_REQUESTS = 3;

/** One request as its caller and its target recorded it. Times are in milliseconds. */
export type RecordedRequest = {
	readonly team: string;
	readonly tokens: number;
	readonly arrivedMs: number;
	/** Time at which its run began; undefined if it was refused. */
	readonly firstTokenMs: number | undefined;
};

/** A team below half of its share. */
export type MissedHalf = {
	readonly team: string;
	/** Start of the span, in seconds. */
	readonly fromS: number;
	/** Tokens that the team asked for, that it got, and that are half of its share, in the span. */
	readonly asked: number;
	readonly got: number;
	readonly half: number;
};

type Second = {asked: number; got: number; isHeldUp: boolean};

const secondOf = (ms: number): number => Math.floor(ms / SECOND_MS);

/** @param isLate - Whether a request's run began past its latency target. */
export const missedHalves = (requests: readonly RecordedRequest[], isLate: (request: RecordedRequest) => boolean): readonly MissedHalf[] => {
	const teams = new Map<string, Map<number, Second>>();
	const at = (team: string, second: number): Second => {
		const seconds = teams.get(team) ?? new Map<number, Second>();
		teams.set(team, seconds);
		const known = seconds.get(second) ?? {asked: 0, got: 0, isHeldUp: false};
		seconds.set(second, known);
		return known;
	};

	const largest = new Map<string, readonly number[]>();
	let lastS = 0;
	for (const request of requests) {
		const {team, tokens, arrivedMs, firstTokenMs} = request;
		const asked = at(team, secondOf(arrivedMs));
		asked.asked += tokens;
		asked.isHeldUp ||= firstTokenMs === undefined || isLate(request);
		lastS = Math.max(lastS, secondOf(arrivedMs));
		largest.set(team, [...largest.get(team) ?? [], tokens].toSorted((a, b) => b - a).slice(0, SLACK_REQUESTS));
		if (firstTokenMs !== undefined) {
			at(team, secondOf(firstTokenMs)).got += tokens;
		}
	}

	const bestOf = (second: number): number => Math.max(0, ...[...teams.values()].map(seconds => seconds.get(second)?.got ?? 0));
	const missed: MissedHalf[] = [];
	for (const [team, seconds] of teams) {
		const slack = (largest.get(team) ?? []).reduce((sum, tokens) => sum + tokens, 0);
		for (let fromS = 0; fromS + SPAN_S <= lastS; fromS++) {
			const span = Array.from({length: SPAN_S}, (_, index) => ({second: fromS + index, ...seconds.get(fromS + index)}));
			const got = span.reduce((sum, {got: tokens = 0}) => sum + tokens, 0);
			const half = span.reduce((sum, {second, asked = 0}) => sum + (Math.min(asked, bestOf(second)) / 2), 0);
			if (span.every(({isHeldUp}) => isHeldUp) && got < half - slack) {
				missed.push({
					team, fromS, asked: span.reduce((sum, {asked = 0}) => sum + asked, 0), got, half,
				});
			}
		}
	}

	return missed;
};
