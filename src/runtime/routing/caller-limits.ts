/**
 * Applies the limits that the configuration in force sets for callers. A changed limit holds for
 * requests that begin after it; connections stay open.
 *
 * The HTTP parser has the limit of headers that was in force when its connection was opened. A
 * connection with a lower limit than the present one is therefore closed after its next response,
 * and a request that the parser rejects on it may be sent again.
 */
import {type IncomingMessage, type Server, type ServerResponse} from 'node:http';
import {Socket} from 'node:net';
import {type Duplex} from 'node:stream';
import {RefusalError} from '../../core/errors/refusal-error.js';
import {HeadersTooLarge} from '../../core/errors/refusals-data.js';
import {type CallerLimits} from '../../core/routing/types.js';

/** The parser also counts the request line, so it gets more than the limit, which is checked once the headers are complete. */
const PARSER_SHARE = 2;
/** Bytes of a header line beside name and value: colon, space and line ending. */
const LINE_BYTES = 4;

type HeaderBytes = Pick<CallerLimits, 'headerBytes'>;

/** Returns the largest headers that the parser accepts under a limit. */
export const parserBytes = ({headerBytes}: HeaderBytes): number => headerBytes * PARSER_SHARE;

/** Refuses a request whose headers exceed the limit. */
export const checkHeaders = ({rawHeaders}: Pick<IncomingMessage, 'rawHeaders'>, {headerBytes}: HeaderBytes): void => {
	let bytes = rawHeaders.length / 2 * LINE_BYTES;
	for (const text of rawHeaders) {
		bytes += text.length;
	}

	if (bytes > headerBytes) {
		throw new RefusalError(HeadersTooLarge, {limit: headerBytes});
	}
};

export type ConnectionLimits = {
	/** Handles a new version of the limits. */
	readonly apply: (limits: CallerLimits) => void;
	/** Handles the beginning of a request, before its response is written. */
	readonly onRequest: (req: IncomingMessage, res: ServerResponse) => void;
};

/** Status lines for requests that the parser rejects, by its error; 400 for the others. */
const statusByError: Readonly<Record<string, string>> = {
	HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
	HPE_CHUNK_EXTENSIONS_OVERFLOW: '413 Payload Too Large',
	ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
};
const OUTDATED_LIMIT = '503 Service Unavailable\r\nretry-after: 0';

/** Limits the connections of the servers, at first as given. */
export const createConnectionLimits = (servers: readonly Server[], initial: HeaderBytes): ConnectionLimits => {
	let bytes = parserBytes(initial);
	const bytesOf = new WeakMap<Duplex, number>();
	/** Connections on which a response is open, which must not be mixed with another one. */
	const answering = new WeakSet<Duplex>();
	const isOutdated = (socket: Duplex): boolean => (bytesOf.get(socket) ?? bytes) < bytes;

	const onConnection = (socket: Duplex): void => {
		bytesOf.set(socket, bytes);
	};

	const onClientError = ({code = ''}: NodeJS.ErrnoException, socket: Duplex): void => {
		if (socket.writable && code !== 'ECONNRESET' && !answering.has(socket)) {
			const status = code === 'HPE_HEADER_OVERFLOW' && isOutdated(socket) ? OUTDATED_LIMIT : statusByError[code] ?? '400 Bad Request';
			socket.write(`HTTP/1.1 ${status}\r\ncontent-length: 0\r\nconnection: close\r\n\r\n`);
		}

		if (socket instanceof Socket) {
			socket.destroySoon();
		}
	};

	for (const server of servers) {
		server.on('connection', onConnection);
		server.on('clientError', onClientError);
	}

	return {
		apply(limits) {
			bytes = parserBytes(limits);
			for (const server of servers) {
				server.keepAliveTimeout = limits.idleTimeoutMs;
				// Node reads this property at each new connection.
				Object.assign(server, {maxHeaderSize: bytes});
			}
		},
		onRequest({socket}, res) {
			answering.add(socket);
			res.once('close', () => {
				answering.delete(socket);
			});
			if (isOutdated(socket)) {
				res.shouldKeepAlive = false;
			}
		},
	};
};
