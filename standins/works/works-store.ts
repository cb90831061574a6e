/** Stand-in of the Works' metadata store: rows in tables, one version counter, feeds. */
import {Buffer} from 'node:buffer';
import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import {once} from 'node:events';
import {text} from 'node:stream/consumers';
import polka from 'polka';
import * as z from 'zod';
import {listen} from '../../src/runtime/entry/listen.js';

type Row = {readonly table: string; readonly key: string; readonly value: string | undefined; readonly version: number};

/** How the store treats calls. */
export type StoreMood = 'well' | 'unavailable' | 'silent';

/** What becomes of a conditional transaction: done as asked; done, or done later, without a response. */
export type TransactionMood = 'well' | 'response-lost' | 'done-later';

/** Milliseconds after which a transaction in the mood `done-later` is tried. */
const LATER_MS = 1500;

export type WorksStore = {
	readonly address: string;
	/** Writes a row as the operator or a target does. */
	readonly put: (table: string, key: string, value: unknown) => void;
	/** Writes bytes as they are. */
	readonly putBytes: (table: string, key: string, value: Uint8Array) => void;
	readonly drop: (table: string, key: string) => void;
	readonly rowsOf: (table: string) => ReadonlyMap<string, string>;
	/** Forgets what changed before now. */
	readonly loseHistory: () => void;
	readonly setMood: (mood: StoreMood) => void;
	/** Of conditional transactions alone. */
	readonly setTransactionMood: (mood: TransactionMood) => void;
	/** Calls that were answered or refused. */
	readonly calls: () => number;
	readonly close: () => Promise<void>;
};

const transactionSchema = z.looseObject({
	expected_revision: z.array(z.looseObject({table: z.string(), key: z.string(), schema_version: z.number()})).default([]),
	write: z.array(z.looseObject({table: z.string(), key: z.string(), value: z.string()})),
});

const send = (res: ServerResponse, status: number, body: unknown): void => {
	res.writeHead(status, {'content-type': 'application/json'}).end(JSON.stringify(body));
};

/** Starts a store on loopback. */
export const startWorksStore = async (): Promise<WorksStore> => {
	const rows = new Map<string, Row>();
	const waiting = new Set<() => void>();
	let version = 0;
	let oldest = 0;
	let calls = 0;
	let mood: StoreMood = 'well';
	let transactionMood: TransactionMood = 'well';

	const write = (table: string, key: string, value: string | undefined): void => {
		version++;
		rows.set(`${table}/${key}`, {
			table, key, value, version,
		});
		for (const wake of waiting) {
			wake();
		}
	};

	/** Rows that are written together have one version. */
	const writeAll = (writes: ReadonlyArray<{readonly table: string; readonly key: string; readonly value: string}>): void => {
		version++;
		for (const {table, key, value} of writes) {
			rows.set(`${table}/${key}`, {
				table, key, value, version,
			});
		}

		for (const wake of waiting) {
			wake();
		}
	};

	const toWire = ({table, key, value, version: at}: Row) => ({
		table, part: '', key, schema_version: at, ...(value === undefined ? {deleted: true} : {value}),
	});
	const changed = (table: string, after: number): readonly Row[] =>
		[...rows.values()].filter(row => row.table === table && row.version > after).toSorted((a, b) => a.version - b.version);
	const answerRows = (res: ServerResponse, found: readonly Row[]): void => {
		send(res, 200, {
			rows: found.map(row => toWire(row)), has_more: false, schema_version: version, now_ms: 0,
		});
	};

	const feed = (res: ServerResponse, query: URLSearchParams): void => {
		const table = query.get('table') ?? '';
		const after = Number(query.get('after_revision'));
		if (after < oldest) {
			send(res, 410, {error: 'history'});
			return;
		}

		const finish = (): void => {
			waiting.delete(wake);
			clearTimeout(timer);
			answerRows(res, changed(table, after));
		};

		const wake = (): void => {
			if (changed(table, after).length > 0) {
				finish();
			}
		};

		const timer = setTimeout(finish, Number(query.get('wait_ms')));
		waiting.add(wake);
		res.once('close', () => {
			waiting.delete(wake);
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

		const lost = expected.length > 0 && transactionMood;
		if (lost === 'done-later') {
			setTimeout(() => {
				apply();
			}, LATER_MS);
		} else if (!apply()) {
			send(res, 412, {rows: current().map(row => toWire(row))});
		} else if (lost !== 'response-lost') {
			send(res, 200, {schema_version: version, now_ms: Date.now()});
		}
	};

	const server = http.createServer();
	const app = polka({server})
		.use((_req, res, next) => {
			calls++;
			if (mood === 'well') {
				next();
			} else if (mood === 'unavailable') {
				send(res, 503, {});
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
	const address = await listen(server, {host: '127.0.0.1', port: 0});

	return {
		address,
		put(table, key, value) {
			write(table, key, Buffer.from(JSON.stringify(value)).toString('base64'));
		},
		putBytes(table, key, value) {
			write(table, key, Buffer.from(value).toString('base64'));
		},
		drop(table, key) {
			write(table, key, undefined);
		},
		rowsOf: table => new Map(changed(table, -1).flatMap(({key, value}) => value === undefined ? [] : [[key, Buffer.from(value, 'base64').toString()] as const])),
		loseHistory() {
			oldest = version + 1;
			version++;
		},
		setMood(next) {
			mood = next;
		},
		setTransactionMood(next) {
			transactionMood = next;
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
