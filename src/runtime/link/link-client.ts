/** Opens link streams to peers and reads tables of peers, with connect-es over HTTP/2. */
import {X509Certificate} from 'node:crypto';
import {connect as connectTcp, type Socket} from 'node:net';
import {connect as connectTls} from 'node:tls';
import {createClient} from '@connectrpc/connect';
import {createConnectTransport, Http2SessionManager} from '@connectrpc/connect-node';
import {JackdawwoodError} from '../../core/errors/jackdawwood-error.js';
import {Control} from '../../gen/jackdawwood/v1/control_pb.js';
import {type FrameStream} from './link.js';
import {createOutbox} from './outbox.js';
import {certificateFault, certificateVm, peerCertificate} from './peer-certificate.js';
import {PeerCertificateRefused} from './tls-errors-data.js';
import {secureContextOptions, type TlsSource} from './tls-keys.js';
import {type Peer} from './types.js';

export type ClientOptions = {
	readonly maxFrameBytes: number;
	/** Milliseconds after which an attempt to connect is abandoned. */
	readonly connectTimeoutMs: number;
	readonly onSocket: (socket: Socket) => void;
	readonly tls?: TlsSource | undefined;
	/** Returns the wall-clock time in milliseconds, for the validity dates of certificates. */
	readonly dateMs: () => number;
};

type Session = {
	readonly client: ReturnType<typeof createClient<typeof Control>>;
	readonly certificate: () => X509Certificate | undefined;
	readonly destroy: () => void;
};

const parseAddress = (address: string): {readonly host: string; readonly port: number} => {
	const {hostname, port} = new URL(`tcp://${address}`);
	return {host: hostname.replaceAll(/[\[\]]/gv, ''), port: Number(port)};
};

const connectSecurely = (peer: Peer, tls: TlsSource, dateMs: () => number): Socket => {
	const keys = tls.current();
	return connectTls({
		...parseAddress(peer.address),
		...secureContextOptions(keys),
		ALPNProtocols: ['h2'],
		checkServerIdentity(_host, {raw}) {
			const certificate = new X509Certificate(raw);
			const fault = certificateFault(certificate, keys, dateMs())
				?? (certificateVm(certificate) === peer.vm ? undefined : `it names VM ${certificateVm(certificate)}`);
			return fault === undefined ? undefined : new JackdawwoodError(PeerCertificateRefused, {vm: peer.vm, fault});
		},
	});
};

const openSocket = (peer: Peer, {tls, dateMs, connectTimeoutMs, onSocket}: ClientOptions): Socket => {
	const socket = tls ? connectSecurely(peer, tls, dateMs) : connectTcp(parseAddress(peer.address));
	socket.setNoDelay(true);
	socket.setTimeout(connectTimeoutMs, () => {
		if (socket.connecting) {
			socket.destroy(new Error('TCP connection not established within the connect timeout'));
		}
	});
	onSocket(socket);
	return socket;
};

const openSession = (peer: Peer, options: ClientOptions): Session => {
	const baseUrl = `${options.tls ? 'https' : 'http'}://${peer.address}`;
	let socket: Socket | undefined;
	const sessionManager = new Http2SessionManager(baseUrl, {}, {
		createConnection() {
			socket = openSocket(peer, options);
			return socket;
		},
	});
	const transport = createConnectTransport({
		baseUrl, httpVersion: '2', sessionManager, readMaxBytes: options.maxFrameBytes, acceptCompression: [],
	});
	return {
		client: createClient(Control, transport),
		certificate: () => peerCertificate(socket),
		destroy() {
			sessionManager.abort();
		},
	};
};

/** Opens a stream to a peer. If the connection fails, the iteration over `incoming` throws. */
export const dialLink = (peer: Peer, options: ClientOptions): FrameStream => {
	const {client, certificate, destroy} = openSession(peer, options);
	const outbox = createOutbox();
	return {
		incoming: client.link(outbox.frames), outbox, dialledBy: 'self', expectedVm: peer.vm, certificate, destroy,
	};
};

/** Returns the rows of one table of a peer, as JSON. Rejects with the error of connect-es. */
export const readPeerTable = async (peer: Peer, request: {readonly table: string; readonly timeoutMs: number}, options: ClientOptions): Promise<string> => {
	const {client, destroy} = openSession(peer, options);
	try {
		const {rowsJson} = await client.readTable(request, {timeoutMs: request.timeoutMs});
		return rowsJson;
	} finally {
		destroy();
	}
};
