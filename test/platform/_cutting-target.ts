/** A target on a raw socket whose responses end in the middle of their heads. */
import type net from 'node:net';
import {type ExecutionContext} from 'ava';
import {startRawServer} from './_raw-server.js';

/** How a response says where it ends. */
export const framings = ['length', 'chunks', 'until-close', 'events'] as const;
export type Framing = typeof framings[number];

/** How the connection ends in the middle of the head. */
export const endings = ['end', 'reset', 'end-after-hints', 'reset-in-second-packet'] as const;
export type Ending = typeof endings[number];

export type Cut = {
	readonly framing: Framing;
	/** Bytes of the head that are sent, at most all but one. */
	readonly bytes: number;
	readonly ending: Ending;
};

const BODY = 'done';
const framingFields: Readonly<Record<Framing, string>> = {
	length: `content-length: ${BODY.length}\r\n`,
	chunks: 'transfer-encoding: chunked\r\n',
	'until-close': '',
	events: 'content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n',
};

/** Returns the head of a response to a request with an id, in the fields of both protocols. */
export const headOf = (framing: Framing, id: string): string =>
	`HTTP/1.1 200 OK\r\nx-attempt-id: ${id}\r\nx-request-id: ${id}\r\nx-server-stamp: s.1\r\n${framingFields[framing]}x-instance-load: 1,0,8\r\n\r\n`;

/** Returns every third cut of the heads with each framing and ending. */
export const everyCut = (): readonly Cut[] => framings.flatMap(framing => endings.flatMap(ending =>
	Array.from({length: Math.ceil(headOf(framing, 'x'.repeat(8)).length / 3)}, (_, index) => ({framing, ending, bytes: index * 3}))));

export const pathOf = ({framing, bytes, ending}: Cut): string => `${framing}.${bytes}.${ending}`;

const parsePath = (path: string): Cut | undefined => {
	const [framing, bytes, ending] = (path.split('/').at(-1) ?? '').split('.');
	return bytes === undefined ? undefined : {framing: framings.find(name => name === framing) ?? 'length', bytes: Number(bytes), ending: endings.find(name => name === ending) ?? 'end'};
};

const respond = (socket: net.Socket, {framing, bytes, ending}: Cut, id: string): void => {
	// Ids differ in length, and the last byte completes the head.
	const part = headOf(framing, id).slice(0, bytes).slice(0, headOf(framing, id).length - 1);
	switch (ending) {
		case 'end': {
			socket.end(part);
			break;
		}

		case 'reset': {
			socket.write(part, () => {
				socket.resetAndDestroy();
			});
			break;
		}

		case 'end-after-hints': {
			socket.end(`HTTP/1.1 103 Early Hints\r\nlink: </style>\r\n\r\n${part}`);
			break;
		}

		case 'reset-in-second-packet': {
			socket.write(part.slice(0, bytes / 2));
			setTimeout(() => {
				socket.write(part.slice(bytes / 2), () => {
					socket.resetAndDestroy();
				});
			}, 2);
			break;
		}
	}
};

/** Starts the target; resolves to its address. Requests whose path holds no cut get a whole response. */
export const startCuttingTarget = async (t: ExecutionContext): Promise<string> => {
	const {address} = await startRawServer(t, socket => {
		socket.on('data', chunk => {
			const text = chunk.toString('latin1');
			const id = /x-(?:attempt|request)-id: (\S+)/iv.exec(text)?.[1] ?? '';
			const cut = parsePath(text.split(' ', 2)[1] ?? '');
			if (cut) {
				respond(socket, cut, id);
			} else {
				socket.write(headOf('length', id) + BODY);
			}
		});
	});
	return address;
};
