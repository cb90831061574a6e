/** Counts the messages and bytes that this VM sends to other VMs and exchanges with targets, by kind. */
import {type Log, type LogFields} from './log.js';
import {type Metrics} from './metrics.js';

/** Milliseconds between log lines. */
const LOG_MS = 5000;

/** Upper bounds of the sizes by which prompts are counted, in tokens. */
const SIZE_BOUNDS = [1000, 2000, 4000, 8000, 16_000];

/** Returns the label of a prompt's size: its upper bound in tokens. */
export const sizeLabel = (tokens: number): string => String(SIZE_BOUNDS.find(bound => tokens <= bound) ?? 'more');

/** What a datagram to another VM consists of. */
export type PeerTraffic = 'report' | 'reservation' | 'rollout' | 'quarantine';
/** Bytes of requests to targets and of their responses, by whether the target is in another data centre. */
export type TargetTraffic = {readonly direction: 'to' | 'from'; readonly isOtherDataCentre: boolean; readonly bytes: number};

export type TrafficReport = {
	/** Records a datagram of `bytes` that holds `messages` messages. */
	readonly noteSent: (kind: PeerTraffic, messages: number, bytes: number) => void;
	readonly noteTarget: (traffic: TargetTraffic) => void;
	/** Writes a log line if one is due. */
	readonly update: (nowMs: number) => void;
	/** Writes the last log line. */
	readonly flush: () => void;
};

const directions = ['to', 'from'] as const;
const places = ['own', 'other'] as const;

export const createTrafficReport = ({log, metrics}: {readonly log: Log; readonly metrics: Pick<Metrics, 'peerDatagrams' | 'peerMessages' | 'peerBytes' | 'targetBytes'>}): TrafficReport => {
	const totals = new Map<string, number>();
	let dueMs = -Infinity;
	const add = (field: string, amount: number): void => {
		totals.set(field, (totals.get(field) ?? 0) + amount);
	};

	/** Bytes exchanged with targets that are not counted yet. They are counted at each update, since they arrive with each event of a stream. */
	const uncounted = {to: {own: 0, other: 0}, from: {own: 0, other: 0}};

	const countTargetBytes = (): void => {
		for (const direction of directions) {
			for (const place of places) {
				const bytes = uncounted[direction][place];
				if (bytes > 0) {
					uncounted[direction][place] = 0;
					metrics.targetBytes.inc({direction, data_centre: place}, bytes);
					add(`${direction}_${place}_bytes`, bytes);
				}
			}
		}
	};

	const write = (): void => {
		const fields: LogFields = Object.fromEntries(totals);
		totals.clear();
		if (Object.keys(fields).length > 0) {
			log.info('traffic', fields);
		}
	};

	return {
		noteSent(kind, messages, bytes) {
			metrics.peerDatagrams.inc({kind});
			metrics.peerMessages.inc({kind}, messages);
			metrics.peerBytes.inc({kind}, bytes);
			add(`${kind}_datagrams`, 1);
			add(`${kind}_messages`, messages);
			add(`${kind}_bytes`, bytes);
		},
		noteTarget({direction, isOtherDataCentre, bytes}) {
			uncounted[direction][isOtherDataCentre ? 'other' : 'own'] += bytes;
		},
		update(nowMs) {
			countTargetBytes();
			if (nowMs >= dueMs) {
				dueMs = nowMs + LOG_MS;
				write();
			}
		},
		flush() {
			countTargetBytes();
			write();
		},
	};
};
