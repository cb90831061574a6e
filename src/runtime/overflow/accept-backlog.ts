/**
 * Notices that connections wait to be accepted. Node accepts one connection a turn of the
 * event loop, so a busy VM takes few, however little each one needs. While connections
 * come in every turn, others wait behind them.
 */
import {type Server} from 'node:net';

/** Milliseconds for which every turn must bring a connection until those behind count as waiting: a fifth of the shortest latency targets, about 300 ms. */
const BACKLOG_MS = 60;

/** Calls `onBacklog` whenever connections have waited; returns a function that ends the watch. */
export const watchBacklog = (server: Server, nowMs: () => number, onBacklog: () => void): (() => void) => {
	let sinceMs: number | undefined;
	let isNew = false;

	/** Runs once at the end of each turn for as long as each brings a connection. */
	const afterTurn = (): void => {
		if (!isNew) {
			sinceMs = undefined;
			return;
		}

		isNew = false;
		if (sinceMs !== undefined && nowMs() - sinceMs >= BACKLOG_MS) {
			sinceMs = nowMs();
			onBacklog();
		}

		setImmediate(afterTurn);
	};

	const onConnection = (): void => {
		isNew = true;
		if (sinceMs === undefined) {
			sinceMs = nowMs();
			setImmediate(afterTurn);
		}
	};

	server.on('connection', onConnection);
	return () => {
		server.off('connection', onConnection);
	};
};
