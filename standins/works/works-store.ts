/** Stand-in of the metadata store that `platform/store-client.ts` calls: rows in tables, one version counter for all, and feeds of changes. */
import {Buffer} from 'node:buffer';
import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';
import {once} from 'node:events';
import {text} from 'node:stream/consumers';
import polka from 'polka';
import * as z from 'zod';
import {listen} from '../../src/runtime/entry/listen.js';

type Row = {readonly table: string; readonly key: string; readonly value: string | undefined; readonly version: number};

/** How the store treats calls: serves them, rejects them with 503, or leaves them without a response, for good. */
export type StoreMode = 'well' | 'unavailable' | 'silent';

/** How the store treats a conditional transaction: executes it, executes it without a response, or attempts it later without a response. */
export type TransactionMode = 'well' | 'response-lost' | 'done-later';

/** Milliseconds after which a transaction in the mode `done-later` is attempted. */
const DELAYED_TRANSACTION_MS = 1500;

export type StoreOptions = {
	/** Whether the store reports its era, as a store does that may come back from an older copy. */
	readonly hasEra?: boolean;
};

export type WorksStore = {
	readonly address: string;
	/** Writes a row with a JSON value, as operators and targets do. */
	readonly put: (table: string, key: string, value: unknown) => void;
	/** Writes a row of which only the sequence number changes: reads show it, but it has no new version and feeds do not report it. */
	readonly renew: (table: string, key: string, value: unknown) => void;
	/** Writes a row with any bytes. */
	readonly putBytes: (table: string, key: string, value: Uint8Array) => void;
	readonly drop: (table: string, key: string) => void;
	readonly rowsOf: (table: string) => ReadonlyMap<string, string>;
	/** Discards the history: feeds that ask for changes since an earlier version fail with 410. */
	readonly discardHistory: () => void;
	readonly setMode: (mode: StoreMode) => void;
	/** Rejects the next calls with 503, as many as given. */
	readonly rejectNext: (calls: number) => void;
	/** Sends rows this much later than the moment that they show. */
	readonly delayRows: (ms: number) => void;
	/** Leaves all connections that are open now without a response, for good; new ones are served. */
	readonly silenceConnections: () => void;
	/** The same for the open connections on which no call is under way. */
	readonly silenceIdleConnections: () => void;
	/** Keeps a copy of the present state, to which `restore` goes back. */
	readonly keepCopy: () => void;
	/**
	 * Goes back to the copy that was kept, in a new era: later writes are gone, their versions are
	 * given out again, and a feed from a version that the store does not have fails with 410.
	 */
	readonly restore: () => void;
	/** Sets the mode of conditional transactions only. */
	readonly setTransactionMode: (mode: TransactionMode) => void;
	/** Returns the number of calls received. */
	readonly calls: () => number;
	readonly close: () => Promise<void>;
};

const transactionSchema = z.looseObject({
	expected_revision: z.array(z.looseObject({table: z.string(), key: z.string(), schema_version: z.number()})).default([]),
	write: z.array(z.looseObject({table: z.string(), key: z.string(), value: z.string()})),
});

/** Starts the store stand-in on loopback. */
export const startWorksStore = async ({hasEra = false}: StoreOptions = {}): Promise<WorksStore> => {
	const rows = new Map<string, Row>();
	let era = 1;
	let copy: {readonly rows: ReadonlyMap<string, Row>; readonly version: number} = {rows: new Map(), version: 0};
	const connections = new Set<Socket>();
	const silentConnections = new WeakSet<Socket>();
	/** Connections on which a call is under way. */
	const busyConnections = new WeakSet<Socket>();
	/** Sends a response; in the mode `silent` and on a silent connection it is lost, and so are all that follow on this connection. */
	const send = (res: ServerResponse, status: number, body: unknown): void => {
		if (mode === 'silent' && res.socket) {
			silentConnections.add(res.socket);
		}

		if (!res.socket || silentConnections.has(res.socket)) {
			return;
		}

		res.writeHead(status, {'content-type': 'application/json', ...(hasEra && {'store-era': String(era)})}).end(JSON.stringify(body));
	};

	const waitingFeeds = new Set<() => void>();
	let version = 0;
	let oldestVersion = 0;
	let calls = 0;
	let mode: StoreMode = 'well';
	let toReject = 0;
	let rowsDelayMs = 0;
	let transactionMode: TransactionMode = 'well';

	const write = (table: string, key: string, value: string | undefined): void => {
		version++;
		rows.set(`${table}/${key}`, {
			table, key, value, version,
		});
		for (const wake of waitingFeeds) {
			wake();
		}
	};

	/** Writes rows with one common version. */
	const writeAll = (writes: ReadonlyArray<{readonly table: string; readonly key: string; readonly value: string}>): void => {
		version++;
		for (const {table, key, value} of writes) {
			rows.set(`${table}/${key}`, {
				table, key, value, version,
			});
		}

		for (const wake of waitingFeeds) {
			wake();
		}
	};

	const toWire = ({table, key, value, version: at}: Row) => ({
		table, part: '', key, schema_version: at, ...(value === undefined ? {deleted: true} : {value}),
	});
	const changed = (table: string, after: number): readonly Row[] =>
		[...rows.values()].filter(row => row.table === table && row.version > after).toSorted((a, b) => a.version - b.version);
	const answerRows = (res: ServerResponse, found: readonly Row[]): void => {
		const body = {
			rows: found.map(row => toWire(row)), has_more: false, schema_version: version, now_ms: 0,
		};
		if (rowsDelayMs === 0) {
			send(res, 200, body);
			return;
		}

		setTimeout(() => {
			send(res, 200, body);
		}, rowsDelayMs);
	};

	const feed = (res: ServerResponse, query: URLSearchParams): void => {
		const table = query.get('table') ?? '';
		const after = Number(query.get('after_revision'));
		if (after < oldestVersion || after > version) {
			send(res, 410, {error: 'history'});
			return;
		}

		const finish = (): void => {
			waitingFeeds.delete(wake);
			clearTimeout(timer);
			answerRows(res, changed(table, after));
		};

		const wake = (): void => {
			if (changed(table, after).length > 0) {
				finish();
			}
		};

		const timer = setTimeout(finish, Number(query.get('wait_ms')));
		waitingFeeds.add(wake);
		res.once('close', () => {
			waitingFeeds.delete(wake);
			clearTimeout(timer);
		});
		wake();
	};

	const transact = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
		const {expected_revision: expected, write: writes} = transactionSchema.parse(JSON.parse(await text(req)));
		const current = () => expected.flatMap(({table, key}) => rows.get(`${table}/${key}`) ?? []);
		const holds = () => expected.every(({table, key, schema_version: at}) => {
			const row = rows.get(`${table}/${key}`);
			return (row?.value === undefined ? 0 : row.version) === at;
		});
		const apply = (): boolean => {
			const isAllowed = holds();
			if (isAllowed) {
				writeAll(writes);
			}

			return isAllowed;
		};

		const fault = expected.length > 0 && transactionMode;
		if (fault === 'done-later') {
			setTimeout(() => {
				apply();
			}, DELAYED_TRANSACTION_MS);
		} else if (!apply()) {
			send(res, 412, {rows: current().map(row => toWire(row))});
		} else if (fault !== 'response-lost') {
			send(res, 200, {schema_version: version, now_ms: Date.now()});
		}
	};

	const server = http.createServer();
	const app = polka({server})
		.use((req, res, next) => {
			calls++;
			busyConnections.add(req.socket);
			res.once('finish', () => {
				busyConnections.delete(req.socket);
			});
			if (mode === 'silent') {
				silentConnections.add(req.socket);
			} else if (mode === 'unavailable' || toReject > 0) {
				toReject = Math.max(0, toReject - 1);
				send(res, 503, {});
			} else {
				next();
			}
		})
		.get('/v1/rows-get', (req, res) => {
			const table = new URL(req.originalUrl, 'http://store').searchParams.get('table') ?? '';
			answerRows(res, changed(table, -1).filter(({value}) => value !== undefined).toSorted((a, b) => a.key < b.key ? -1 : 1));
		})
		.get('/v1/rows-feed', (req, res) => {
			feed(res, new URL(req.originalUrl, 'http://store').searchParams);
		})
		.post('/v1/rows-tx', transact);
	server.on('request', app.handler);
	server.on('connection', socket => {
		connections.add(socket);
		socket.once('close', () => {
			connections.delete(socket);
		});
	});
	const address = await listen(server, {host: '127.0.0.1', port: 0});

	return {
		address,
		put(table, key, value) {
			write(table, key, Buffer.from(JSON.stringify(value)).toString('base64'));
		},
		renew(table, key, value) {
			const row = rows.get(`${table}/${key}`);
			if (row) {
				rows.set(`${table}/${key}`, {...row, value: Buffer.from(JSON.stringify(value)).toString('base64')});
			}
		},
		putBytes(table, key, value) {
			write(table, key, Buffer.from(value).toString('base64'));
		},
		drop(table, key) {
			write(table, key, undefined);
		},
		rowsOf: table => new Map(changed(table, -1).flatMap(({key, value}) => value === undefined ? [] : [[key, Buffer.from(value, 'base64').toString()] as const])),
		discardHistory() {
			oldestVersion = version + 1;
			version++;
		},
		setMode(next) {
			mode = next;
		},
		rejectNext(count) {
			toReject = count;
		},
		delayRows(ms) {
			rowsDelayMs = ms;
		},
		silenceConnections() {
			for (const socket of connections) {
				silentConnections.add(socket);
			}
		},
		silenceIdleConnections() {
			for (const socket of connections) {
				if (!busyConnections.has(socket)) {
					silentConnections.add(socket);
				}
			}
		},
		keepCopy() {
			copy = {rows: new Map(rows), version};
		},
		restore() {
			era++;
			version = copy.version;
			oldestVersion = copy.version;
			rows.clear();
			for (const [key, row] of copy.rows) {
				rows.set(key, row);
			}
		},
		setTransactionMode(next) {
			transactionMode = next;
		},
		calls: () => calls,
		async close() {
			const closed = once(server, 'close');
			server.close();
			server.closeAllConnections();
			await closed;
		},
	};
};
