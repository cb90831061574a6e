/**
 * Collects the parts of the next frame to one peer. Reports, allotments and exchanges carry
 * cumulative counters, so a later one replaces an earlier one of the same member and pool (the
 * targets of one service in one data centre). All claims and lease notices are sent, in order.
 */
import {type FramePart} from './types.js';

type Item<Key extends 'reports' | 'allotments' | 'exchanges'> = NonNullable<FramePart[Key]>[number];

type ConfigNotice = NonNullable<FramePart['config']>;

export type PendingFrame = {
	readonly add: (part: FramePart) => void;
	/** Removes and returns all parts added so far. */
	readonly take: () => FramePart;
	readonly isEmpty: () => boolean;
	/** Returns the number of claim requests and replies added. */
	readonly claims: () => number;
};

const poolKey = ({service = '', dataCentre = ''}: {readonly service?: string; readonly dataCentre?: string}, member = ''): string =>
	`${service}\n${dataCentre}\n${member}`;

const hasText = (document: string | undefined): document is string => document !== undefined && document !== '';

const larger = (a = 0n, b = 0n): bigint => a > b ? a : b;

/** Merges two configuration notices. If only the earlier one has a document, the result has that document and its version, and the later notice only raises `heardVersion`. */
const mergeConfig = (earlier: ConfigNotice, later: ConfigNotice): ConfigNotice => {
	const {version = 0n, document = ''} = hasText(earlier.document) && !hasText(later.document) ? earlier : later;
	return {
		version,
		document,
		fetch: earlier.fetch === true || later.fetch === true,
		heardVersion: larger(larger(earlier.heardVersion, later.heardVersion), later.version),
	};
};

export const createPendingFrame = (): PendingFrame => {
	let single: Pick<FramePart, 'heartbeat' | 'config'> = {};
	const reports = new Map<string, Item<'reports'>>();
	const allotments = new Map<string, Item<'allotments'>>();
	const exchanges = new Map<string, Item<'exchanges'>>();
	let claimRequests: NonNullable<FramePart['claimRequests']> = [];
	let claimReplies: NonNullable<FramePart['claimReplies']> = [];
	let leases: NonNullable<FramePart['leases']> = [];
	let empty = true;

	const addSingle = (part: FramePart): void => {
		if (part.heartbeat) {
			single = {...single, heartbeat: part.heartbeat};
		}

		if (part.config) {
			single = {...single, config: single.config ? mergeConfig(single.config, part.config) : part.config};
		}
	};

	const addKeyed = (part: FramePart): void => {
		for (const report of part.reports ?? []) {
			reports.set(poolKey(report, report.member), report);
		}

		for (const allotment of part.allotments ?? []) {
			allotments.set(poolKey(allotment, allotment.member), allotment);
		}

		for (const exchange of part.exchanges ?? []) {
			exchanges.set(poolKey(exchange), exchange);
		}
	};

	const addListed = (part: FramePart): void => {
		claimRequests.push(...part.claimRequests ?? []);
		claimReplies.push(...part.claimReplies ?? []);
		leases.push(...part.leases ?? []);
	};

	const reset = (): void => {
		single = {};
		for (const keyed of [reports, allotments, exchanges]) {
			keyed.clear();
		}

		claimRequests = [];
		claimReplies = [];
		leases = [];
		empty = true;
	};

	return {
		add(part) {
			empty = false;
			addSingle(part);
			addKeyed(part);
			addListed(part);
		},
		take() {
			const taken = {
				...single,
				reports: [...reports.values()],
				allotments: [...allotments.values()],
				exchanges: [...exchanges.values()],
				claimRequests,
				claimReplies,
				leases,
			};
			reset();
			return taken;
		},
		isEmpty: () => empty,
		claims: () => claimRequests.length + claimReplies.length,
	};
};
