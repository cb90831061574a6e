/** A target on a raw socket, whose responses have each form of HTTP and end in each way; the path of a request names both. */
import type net from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {type ExecutionContext} from 'ava';
import {startRawServer} from './_raw-server.js';

/** How a response tells where it ends. `mixed`: an event stream whose later calls use another form than its first one. */
export const forms = ['length', 'chunks', 'until-close', 'mixed'] as const;
export type Form = typeof forms[number];

/** What happens in the middle of a response. `none`: it ends in an orderly way. `slow`: it lasts until something else ends it. */
export const targetEndings = ['none', 'reset', 'close', 'stall', 'endless', 'slow'] as const;
export type TargetEnding = typeof targetEndings[number];

const EVENTS = 40;
/** Events of a response that is to outlast the test's disruption. */
const SLOW_EVENTS = 400;
const PIECE_MS = 20;
/** Bytes of a plain response's piece: so many that the router passes the response on before it is complete. */
const PIECE_BYTES = 16_384;
const ENDLESS_PIECE = 'x'.repeat(262_144);

const eventOf = (id: number): string => `id: ${id}\ndata: word ${id}\n\n`;
const pieceOf = (id: number): string => `${id}:`.padEnd(PIECE_BYTES, '.');

const piecesOf = (isStream: boolean, ending: TargetEnding, after: number): readonly string[] =>
	Array.from({length: (ending === 'slow' ? SLOW_EVENTS : EVENTS) - after}, (_, index) => isStream ? eventOf(after + index + 1) : pieceOf(index + 1));

/** The whole body of a response. */
export const wholeBody = (isStream: boolean, ending: TargetEnding): string => piecesOf(isStream, ending, 0).join('');

/** Path of a request; a response whose status is not 200 has no body. */
export const pathOf = (form: Form, ending: TargetEnding, status = 200): string => `${form}.${ending}.${status}`;

type Request = {readonly method: string; readonly id: string; readonly isStream: boolean; readonly form: Form; readonly ending: TargetEnding; readonly status: string; readonly afterEvent: number};

const fieldOf = (text: string, name: string): string | undefined => new RegExp(String.raw`^${name}: (\S+)`, 'imv').exec(text)?.[1];

const parseRequest = (text: string): Request => {
	const [method = '', path = ''] = text.split(' ', 2);
	const [form, ending, status = '200'] = (path.split('/').at(-1) ?? '').split('.');
	return {
		method,
		id: fieldOf(text, 'x-request-id') ?? fieldOf(text, 'x-attempt-id') ?? '',
		isStream: path.startsWith('/brief/') || path.startsWith('/chat/'),
		form: forms.find(name => name === form) ?? 'length',
		ending: targetEndings.find(name => name === ending) ?? 'none',
		status,
		afterEvent: Number(fieldOf(text, 'last-event-id') ?? 0),
	};
};

const framingField: Readonly<Record<Exclude<Form, 'mixed'>, (length: number) => string>> = {
	length: length => `content-length: ${length}\r\n`,
	chunks: () => 'transfer-encoding: chunked\r\n',
	'until-close': () => 'connection: close\r\n',
};

const firstFormOf = (form: Form, isContinued: boolean): Exclude<Form, 'mixed'> =>
	form === 'mixed' ? (isContinued ? 'chunks' : 'until-close') : form;

const respond = async (socket: net.Socket, {
	method, id, isStream, form, ending, status, afterEvent,
}: Request): Promise<void> => {
	const pieces = piecesOf(isStream, ending, afterEvent);
	const framing = firstFormOf(form, afterEvent > 0);
	const length = ending === 'endless' ? Number.MAX_SAFE_INTEGER : pieces.join('').length;
	const framingLine = status === '204' && framing !== 'until-close' ? '' : framingField[framing](length);
	socket.write(`HTTP/1.1 ${status} X\r\nx-attempt-id: ${id}\r\nx-request-id: ${id}\r\nx-server-stamp: s.1\r\n${framingLine}${isStream ? 'content-type: text/event-stream\r\n' : ''}\r\n`);
	const write = (bytes: string): boolean => socket.write(framing === 'chunks' ? `${bytes.length.toString(16)}\r\n${bytes}\r\n` : bytes);
	if (method === 'HEAD' || status !== '200') {
		return;
	}

	if (ending === 'endless') {
		const writeMore = () => {
			while (!socket.destroyed && write(ENDLESS_PIECE)) {
				// Writes until the buffer is full.
			}
		};

		socket.on('drain', writeMore);
		writeMore();
		return;
	}

	for (const [index, piece] of pieces.entries()) {
		if (socket.destroyed) {
			return;
		}

		// Later calls of a resumed stream end in an orderly way.
		if (index === EVENTS / 2 && afterEvent === 0 && ending !== 'none' && ending !== 'slow') {
			write(piece.slice(0, piece.length / 2));
			await delay(PIECE_MS); // eslint-disable-line no-await-in-loop
			if (ending === 'reset') {
				socket.resetAndDestroy();
			} else if (ending === 'close') {
				socket.end();
			}

			return;
		}

		write(piece);
		await delay(PIECE_MS); // eslint-disable-line no-await-in-loop
	}

	if (framing === 'chunks') {
		socket.write('0\r\n\r\n');
	} else if (framing === 'until-close') {
		socket.end();
	}
};

/** Starts the target; resolves to its address. */
export const startEndingTarget = async (t: ExecutionContext): Promise<string> => {
	const {address} = await startRawServer(t, socket => {
		socket.on('data', chunk => {
			void respond(socket, parseRequest(chunk.toString('latin1')));
		});
	});
	return address;
};
