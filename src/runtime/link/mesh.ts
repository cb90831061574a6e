/** Keeps one link with each peer of a VM and sends the queued parts once per tick. */
import {JackdawwoodError} from '../../core/errors/jackdawwood-error.js';
import {type Frame} from '../../gen/jackdawwood/v1/control_pb.js';
import {createByteCounter} from './byte-counter.js';
import {createFlushTimer} from './flush-timer.js';
import {DEFAULT_LIMITS, RECHECK_CERTIFICATES_MS} from './limits.js';
import {type ClientOptions, dialLink, readPeerTable} from './link-client.js';
import {
	LinkClosed, LinkFrameInvalid, LinkOverrun, PeerUnreachable,
} from './link-errors-data.js';
import {startLinkServer} from './link-server.js';
import {type FrameStream, type LinkCallbacks, startLink} from './link.js';
import {createLinksInUse, type LinkInUse} from './links-in-use.js';
import {createListeners} from './listeners.js';
import {certificateFault} from './peer-certificate.js';
import {createPeerSet} from './peer-set.js';
import {PeerCertificateRefused} from './tls-errors-data.js';
import {
	type LinkMesh, type LinkMeshOptions, type PeerEvent, type PeerIdentity,
} from './types.js';

const toError = (value: unknown): Error => value instanceof Error ? value : new Error(String(value));

/** Starts a mesh that listens for peers. It dials them after `setPeers`. */
export const startLinkMesh = async (options: LinkMeshOptions): Promise<LinkMesh> => {
	const {
		vm: self, dataCentre, incarnation, clock, random, tls, dateMs = Date.now, hooks = {},
	} = options;
	const limits = {...DEFAULT_LIMITS, ...options.limits};
	const onListenerError = hooks.onListenerError ?? (() => undefined);
	const frameListeners = createListeners<[PeerIdentity, Frame]>(onListenerError);
	const peerListeners = createListeners<[PeerEvent]>(onListenerError);
	const bytes = createByteCounter();
	const links = createLinksInUse(self, peerListeners.notify);
	let closing = false;

	const clientOptions: ClientOptions = {
		maxFrameBytes: limits.maxFrameBytes, connectTimeoutMs: limits.idleTimeoutMs, onSocket: bytes.watch, tls, dateMs,
	};

	const callbacks: LinkCallbacks = {
		onHello(link, peer) {
			const err = links.admit(link, peer);
			if (!err) {
				peers.reset(peer.vm);
			}

			return err;
		},
		onFrame(peer, frame) {
			if (!frame.hello) {
				frameListeners.notify(peer, frame);
			}
		},
		onEnd(link, err) {
			links.retire(link);
			if (!closing) {
				hooks.onLinkError?.(err, link.peer()?.vm);
				peers.scheduleDials();
			}
		},
	};

	const attach = (stream: FrameStream): void => {
		const {keepAliveMs, idleTimeoutMs} = limits;
		links.track(startLink(stream, {
			self: {vm: self, dataCentre, incarnation}, clock, keepAliveMs, idleTimeoutMs,
		}, callbacks));
	};

	const peers = createPeerSet({
		self,
		limits,
		random,
		isLinked: vm => links.get(vm) !== undefined,
		dial(peer) {
			attach(dialLink(peer, clientOptions));
		},
		onRemoved(vm) {
			links.get(vm)?.link.abort(new JackdawwoodError(LinkClosed, {vm, reason: 'the VM list no longer names it'}));
		},
	});

	const sendPending = ({link, pending}: LinkInUse): void => {
		if (!pending.isEmpty() && link.isReady()) {
			link.send(pending.take());
		}
	};

	const flushTimer = createFlushTimer(clock, limits.tickMs, () => {
		for (const entry of links.inUse()) {
			sendPending(entry);
			if (!entry.pending.isEmpty()) {
				flushTimer.arm();
			}
		}
	});

	const idleTimer = setInterval(() => {
		for (const link of links.open()) {
			link.checkIdle();
		}
	}, limits.keepAliveMs / 2);

	const server = await startLinkServer({
		vm: self,
		listen: options.listen,
		maxFrameBytes: limits.maxFrameBytes,
		idleTimeoutMs: 2 * limits.idleTimeoutMs,
		onStream: attach,
		onReadTable: options.onReadTable,
		onSocket: bytes.watch,
		onBadConnection(err) {
			hooks.onLinkError?.(new JackdawwoodError(LinkFrameInvalid, {vm: 'unknown', fault: err.message}, err), undefined);
		},
		onRefused(err) {
			hooks.onLinkError?.(err, undefined);
		},
		tls,
		dateMs,
	});

	const recheckCertificates = (): void => {
		for (const link of links.open()) {
			const certificate = link.certificate();
			const fault = tls && certificate && certificateFault(certificate, tls.current(), dateMs());
			if (fault !== undefined) {
				link.abort(new JackdawwoodError(PeerCertificateRefused, {vm: link.peer()?.vm ?? 'unknown', fault}));
			}
		}

		server.recheckCertificates();
	};

	tls?.onChange(recheckCertificates);
	const recheckTimer = tls && setInterval(recheckCertificates, RECHECK_CERTIFICATES_MS);

	return {
		address: server.address,
		setPeers: peers.replace,
		queue(vm, part) {
			const entry = links.get(vm);
			if (!entry) {
				hooks.onPartDropped?.(vm);
				return;
			}

			entry.pending.add(part);
			flushTimer.arm();
			if (entry.pending.claims() > limits.maxPendingClaims) {
				entry.link.abort(new JackdawwoodError(LinkOverrun, {vm, pending: entry.pending.claims()}));
			}
		},
		flush(vm) {
			for (const entry of vm === undefined ? links.inUse() : [links.get(vm)]) {
				if (entry) {
					sendPending(entry);
				}
			}
		},
		onFrame: frameListeners.add,
		onPeer: peerListeners.add,
		linked: links.vms,
		async readTable(vm, table, timeoutMs) {
			const peer = peers.get(vm);
			if (!peer) {
				throw new JackdawwoodError(PeerUnreachable, {vm, reason: 'it is not in the VM list'});
			}

			try {
				return await readPeerTable(peer, {table, timeoutMs}, clientOptions);
			} catch (error) {
				const cause = toError(error);
				throw new JackdawwoodError(PeerUnreachable, {vm, reason: cause.message}, cause);
			}
		},
		stats: () => ({...bytes.totals(), ...links.frames()}),
		async close() {
			closing = true;
			clearInterval(idleTimer);
			clearInterval(recheckTimer);
			flushTimer.stop();
			peers.stop();
			for (const link of links.open()) {
				link.abort(new JackdawwoodError(LinkClosed, {vm: link.peer()?.vm ?? 'unknown', reason: 'this VM stops'}));
			}

			await server.close();
		},
	};
};
