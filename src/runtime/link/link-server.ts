/** Accepts link streams and table reads of peers, with connect-es over HTTP/2. */
import {once} from 'node:events';
import {
	createSecureServer, createServer, type Http2SecureServer, type Http2Server, Http2ServerRequest, type Http2Session, type ServerHttp2Session, type ServerHttp2Stream,
} from 'node:http2';
import {type Server, type Socket} from 'node:net';
import {
	Code, ConnectError, createContextKey, createContextValues,
} from '@connectrpc/connect';
import {connectNodeAdapter} from '@connectrpc/connect-node';
import {JackdawwoodError} from '../../core/errors/jackdawwood-error.js';
import {Control} from '../../gen/jackdawwood/v1/control_pb.js';
import {type FrameStream} from './link.js';
import {createOutbox} from './outbox.js';
import {certificateFault, certificateVm, peerCertificate} from './peer-certificate.js';
import {PeerCertificateRefused} from './tls-errors-data.js';
import {secureContextOptions, type TlsSource} from './tls-keys.js';

export type ServerOptions = {
	readonly vm: string;
	readonly listen: {readonly host: string; readonly port: number};
	readonly maxFrameBytes: number;
	/** Connections are closed after this many milliseconds without traffic. */
	readonly idleTimeoutMs: number;
	readonly onStream: (stream: FrameStream) => void;
	readonly onReadTable: (table: string) => string | Promise<string>;
	readonly onSocket: (socket: Socket) => void;
	/** Called when a connection violates the HTTP/2 protocol; not called when a connection only ends. */
	readonly onBadConnection: (err: Error) => void;
	/** Called when a connection is refused because the peer's certificate is missing or is not accepted. */
	readonly onRefused: (err: JackdawwoodError) => void;
	readonly tls?: TlsSource | undefined;
	/** Returns the wall-clock time in milliseconds, for the validity dates of certificates. */
	readonly dateMs: () => number;
};

export type LinkServer = {
	/** `IP:PORT` that the server listens on. */
	readonly address: string;
	/** Closes the connections of peers whose certificate is no longer accepted. */
	readonly recheckCertificates: () => void;
	readonly close: () => Promise<void>;
};

/** A TLS error, with the reason that OpenSSL gives. */
type TlsError = NodeJS.ErrnoException & {readonly reason?: string};

const streamKey = createContextKey<ServerHttp2Stream | undefined>(undefined);

/** Milliseconds from the end of a stream to the end of its connection. In this time, the error that ended the stream can reach the peer. */
const CLOSE_GRACE_MS = 200;

/**
 * Destroys the connection of a session after a grace period. `session.close()` is not called
 * first, since the session would then wait until the peer closes the socket. A paused peer never
 * closes it.
 */
const destroySession = (session: Http2Session | undefined): void => {
	setTimeout(() => session?.destroy(), CLOSE_GRACE_MS).unref();
};

/** Returns the `IP:PORT` of a listening TCP server. */
const addressOf = (server: Server): string => {
	const bound = server.address();
	if (typeof bound === 'string' || !bound) {
		return '';
	}

	const {address, family, port} = bound;
	return family === 'IPv6' ? `[${address}]:${port}` : `${address}:${port}`;
};

const openStream = (options: ServerOptions, incoming: FrameStream['incoming'], session: Http2Session | undefined): FrameStream => {
	const certificate = peerCertificate(session?.socket);
	return {
		incoming,
		outbox: createOutbox(),
		dialledBy: 'peer',
		expectedVm: certificate && certificateVm(certificate),
		certificate: () => certificate,
		destroy() {
			destroySession(session);
		},
	};
};

const createHandler = (options: ServerOptions): ReturnType<typeof connectNodeAdapter> => connectNodeAdapter({
	grpc: false,
	grpcWeb: false,
	acceptCompression: [],
	readMaxBytes: options.maxFrameBytes,
	contextValues: req => createContextValues().set(streamKey, req instanceof Http2ServerRequest ? req.stream : undefined),
	routes(router) {
		router.service(Control, {
			link(incoming, {values}) {
				const stream = openStream(options, incoming, values.get(streamKey)?.session);
				options.onStream(stream);
				return stream.outbox.frames;
			},
			async readTable({table}) {
				try {
					return {vm: options.vm, rowsJson: await options.onReadTable(table)};
				} catch (error) {
					throw new ConnectError(error instanceof Error ? error.message : String(error), Code.Unavailable);
				}
			},
		});
	},
});

const createHttpServer = (options: ServerOptions): Http2Server | Http2SecureServer => {
	const {tls, onRefused} = options;
	const handler = createHandler(options);
	if (!tls) {
		return createServer(handler);
	}

	const server = createSecureServer({
		...secureContextOptions(tls.current()), handshakeTimeout: options.idleTimeoutMs, requestCert: true, rejectUnauthorized: true, allowHTTP1: false,
	}, handler);
	server.on('tlsClientError', (err: TlsError) => {
		onRefused(new JackdawwoodError(PeerCertificateRefused, {vm: 'unknown', fault: err.reason ?? err.code ?? err.message}));
	});
	tls.onChange(keys => {
		server.setSecureContext(secureContextOptions(keys));
	});
	return server;
};

/** Returns why a connection is refused under the current keys, or `undefined` if it is accepted. */
const sessionFault = (session: Http2Session, {tls, dateMs}: ServerOptions): string | undefined => {
	if (!tls) {
		return undefined;
	}

	const certificate = peerCertificate(session.socket);
	return certificate ? certificateFault(certificate, tls.current(), dateMs()) : 'it showed no certificate';
};

/** Starts the server. Resolves when it listens. */
export const startLinkServer = async (options: ServerOptions): Promise<LinkServer> => {
	const {listen, onSocket, onBadConnection, onRefused, tls} = options;
	const sessions = new Set<ServerHttp2Session>();
	const sockets = new Set<Socket>();
	const server = createHttpServer(options);

	const refuse = (session: ServerHttp2Session): boolean => {
		const fault = sessionFault(session, options);
		if (fault === undefined) {
			return false;
		}

		onRefused(new JackdawwoodError(PeerCertificateRefused, {vm: 'unknown', fault}));
		session.destroy();
		return true;
	};

	server.on('connection', (socket: Socket) => {
		sockets.add(socket);
		socket.once('close', () => {
			sockets.delete(socket);
		});
	});
	server.on(tls ? 'secureConnection' : 'connection', (socket: Socket) => {
		socket.setNoDelay(true);
		onSocket(socket);
	});
	server.on('session', (session: ServerHttp2Session) => {
		if (!refuse(session)) {
			sessions.add(session);
			session.once('close', () => {
				sessions.delete(session);
			});
		}
	});
	server.on('sessionError', (err: NodeJS.ErrnoException) => {
		if (err.code === 'ERR_HTTP2_ERROR') {
			onBadConnection(err);
		}
	});
	server.setTimeout(options.idleTimeoutMs);
	server.listen(listen.port, listen.host);
	await once(server, 'listening');

	return {
		address: addressOf(server),
		recheckCertificates() {
			for (const session of sessions) {
				refuse(session);
			}
		},
		async close() {
			const closed = once(server, 'close');
			server.close();
			for (const connection of [...sessions, ...sockets]) {
				connection.destroy();
			}

			await closed;
		},
	};
};
