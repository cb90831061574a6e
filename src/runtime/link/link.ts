/**
 * A link: one stream with one VM, which either VM may have opened. A link handles the handshake,
 * checks of received frames, frame counters, keep-alive and the idle timeout. It has no access to
 * other links.
 */
import {type X509Certificate} from 'node:crypto';
import {Code, ConnectError} from '@connectrpc/connect';
import {type Clock} from '../../core/clock.js';
import {isError, JackdawwoodError} from '../../core/errors/jackdawwood-error.js';
import {type Frame} from '../../gen/jackdawwood/v1/control_pb.js';
import {frameFault, helloFault, identityOf} from './frame-check.js';
import {PROTOCOL_VERSION} from './limits.js';
import {
	LinkClosed, LinkFrameInvalid, LinkIdentityMismatch, LinkIdle, LinkReplaced, LinkVersionMismatch,
} from './link-errors-data.js';
import {type Outbox} from './outbox.js';
import {type FramePart, type PeerIdentity} from './types.js';

/** An open stream before its handshake. */
export type FrameStream = {
	readonly incoming: AsyncIterable<Frame>;
	readonly outbox: Outbox;
	readonly dialledBy: 'self' | 'peer';
	/** Id that the peer must have: the id of the dialled VM, or the one in the peer's certificate; undefined if neither is known. */
	readonly expectedVm: string | undefined;
	/** Returns the certificate that the peer presented; undefined until the connection is open, and without TLS. */
	readonly certificate: () => X509Certificate | undefined;
	/** Closes the connection of the stream. */
	readonly destroy: () => void;
};

export type LinkCallbacks = {
	/** Called when the peer's first frame, its hello, has passed the checks. Returns an error if this link is not to be used. */
	readonly onHello: (link: Link, peer: PeerIdentity) => JackdawwoodError | undefined;
	readonly onFrame: (peer: PeerIdentity, frame: Frame) => void;
	readonly onEnd: (link: Link, err: JackdawwoodError) => void;
};

export type Link = {
	readonly dialledBy: 'self' | 'peer';
	/** Returns the peer's identity, or undefined until its hello has arrived. */
	readonly peer: () => PeerIdentity | undefined;
	readonly certificate: () => X509Certificate | undefined;
	/** Whether the transport accepts a frame at once. */
	readonly isReady: () => boolean;
	readonly send: (part: FramePart) => void;
	/** Closes the link if no frame was received within the idle timeout. Otherwise sends an empty frame if no frame was sent within the keep-alive interval. */
	readonly checkIdle: () => void;
	readonly abort: (err: JackdawwoodError) => void;
	/** Stops sending, because another stream to the same peer is in use. Still receives frames that the peer sent before it used that stream. */
	readonly supersede: () => void;
	readonly framesSent: () => number;
	readonly framesReceived: () => number;
};

export type LinkSettings = {
	readonly self: PeerIdentity;
	readonly clock: Clock;
	readonly keepAliveMs: number;
	readonly idleTimeoutMs: number;
};

const reasonOf = (err: unknown): string => err instanceof Error ? err.message : String(err);

/** Sends this VM's hello on a new stream and runs the link until it ends. */
export const startLink = (stream: FrameStream, settings: LinkSettings, callbacks: LinkCallbacks): Link => {
	const {outbox, expectedVm} = stream;
	const {self, clock, keepAliveMs, idleTimeoutMs} = settings;
	let peer: PeerIdentity | undefined;
	let received = 0n;
	let sent = 0n;
	let lastReceivedMs = clock.nowMs();
	let lastSentMs = lastReceivedMs;
	let ended = false;
	let isSuperseded = false;

	const nameForErrors = (): string => peer?.vm ?? expectedVm ?? 'unknown';

	const end = (err: JackdawwoodError): void => {
		if (ended) {
			return;
		}

		ended = true;
		outbox.end(new ConnectError(err.message, Code.Aborted));
		callbacks.onEnd(link, err);
		stream.destroy();
	};

	const supersede = (): void => {
		isSuperseded = true;
		outbox.end();
	};

	const send = (part: FramePart): void => {
		sent += 1n;
		lastSentMs = clock.nowMs();
		outbox.send({...part, seq: sent, ack: received});
	};

	const sendHello = (): void => {
		sent += 1n;
		outbox.send({seq: sent, hello: {...self, protocol: PROTOCOL_VERSION}});
	};

	const acceptHello = (frame: Frame): JackdawwoodError | undefined => {
		const fault = helloFault(frame);
		if (fault ?? !frame.hello) {
			return new JackdawwoodError(LinkFrameInvalid, {vm: nameForErrors(), fault: fault ?? ''});
		}

		const {hello} = frame;
		if (hello.protocol !== PROTOCOL_VERSION) {
			return new JackdawwoodError(LinkVersionMismatch, {vm: hello.vm, theirs: hello.protocol, ours: PROTOCOL_VERSION});
		}

		if (hello.vm === self.vm || (expectedVm !== undefined && hello.vm !== expectedVm)) {
			return new JackdawwoodError(LinkIdentityMismatch, {vm: hello.vm, expected: expectedVm ?? 'another VM'});
		}

		peer = identityOf(hello);
		const refusal = callbacks.onHello(link, peer);
		if (refusal && isError(refusal, LinkReplaced)) {
			// The peer may have sent frames on this stream before it used the other one.
			supersede();
			return undefined;
		}

		return refusal;
	};

	const receive = (frame: Frame): void => {
		const fault = frameFault(frame, {received, sent});
		const err = fault
			? new JackdawwoodError(LinkFrameInvalid, {vm: nameForErrors(), fault})
			: (peer ? undefined : acceptHello(frame));
		if (err ?? !peer) {
			end(err ?? new JackdawwoodError(LinkFrameInvalid, {vm: nameForErrors(), fault: 'no hello'}));
			return;
		}

		received = frame.seq;
		lastReceivedMs = clock.nowMs();
		callbacks.onFrame(peer, frame);
	};

	const readAll = async (): Promise<void> => {
		try {
			for await (const frame of stream.incoming) {
				receive(frame);
				if (ended) {
					return;
				}
			}

			end(isSuperseded
				? new JackdawwoodError(LinkReplaced, {vm: nameForErrors()})
				: new JackdawwoodError(LinkClosed, {vm: nameForErrors(), reason: 'the peer closed it'}));
		} catch (error) {
			end(new JackdawwoodError(LinkClosed, {vm: nameForErrors(), reason: reasonOf(error)}));
		}
	};

	const link: Link = {
		dialledBy: stream.dialledBy,
		peer: () => peer,
		certificate: stream.certificate,
		isReady: () => !ended && outbox.isReady(),
		send,
		checkIdle() {
			const nowMs = clock.nowMs();
			if (nowMs - lastReceivedMs >= idleTimeoutMs) {
				end(new JackdawwoodError(LinkIdle, {vm: nameForErrors(), idleMs: Math.round(nowMs - lastReceivedMs)}));
			} else if (nowMs - lastSentMs >= keepAliveMs && outbox.isReady()) {
				send({});
			}
		},
		abort: end,
		supersede,
		framesSent: () => Number(sent),
		framesReceived: () => Number(received),
	};
	sendHello();
	void readAll();
	return link;
};
