/** Types of the link mesh for the other tasks of a VM. */
import {type MessageInitShape} from '@bufbuild/protobuf';
import {type Clock} from '../../core/clock.js';
import {type JackdawwoodError} from '../../core/errors/jackdawwood-error.js';
import {type Frame, type FrameSchema} from '../../gen/jackdawwood/v1/control_pb.js';
import {type TlsSource} from './tls-keys.js';

/** A VM to keep a link with. */
export type Peer = {
	readonly vm: string;
	readonly dataCentre: string;
	/** `IP:PORT` of its control interface. */
	readonly address: string;
};

/** A peer's identity, as its `Hello` states it. */
export type PeerIdentity = {
	readonly vm: string;
	readonly dataCentre: string;
	/** Changes with each restart of the peer's process. */
	readonly incarnation: string;
};

/** Parts of a frame that tasks send; the mesh adds `hello`, `seq` and `ack`. */
export type FramePart = Omit<Exclude<MessageInitShape<typeof FrameSchema>, Frame>, 'hello' | 'seq' | 'ack' | '$typeName' | '$unknown'>;

export type PeerEvent = {
	readonly vm: string;
	readonly state: 'up' | 'down';
	readonly incarnation: string;
};

export type FrameListener = (from: PeerIdentity, frame: Frame) => void;
export type PeerListener = (event: PeerEvent) => void;

export type LinkStats = {
	readonly bytesSent: number;
	readonly bytesReceived: number;
	readonly framesSent: number;
	readonly framesReceived: number;
};

/** Callbacks for failures of the links, for logs and metrics. */
export type LinkHooks = {
	/** Called when a link has ended or could not be opened; `err.data.name` states the cause. */
	readonly onLinkError?: (err: JackdawwoodError, vm: string | undefined) => void;
	/** Called when a part was dropped because its VM has no link. */
	readonly onPartDropped?: (vm: string) => void;
	/** Called with the error of a frame or peer listener that threw. */
	readonly onListenerError?: (err: Error) => void;
};

/** Timing and bounds of the links, in milliseconds and counts. */
export type LinkLimits = {
	/** Length of a tick; the parts queued for a peer within a tick are sent in one frame. */
	readonly tickMs: number;
	/** A link sends an empty frame if it has sent no frame for this time. */
	readonly keepAliveMs: number;
	/** A link that received no frame for this time is closed. */
	readonly idleTimeoutMs: number;
	/** First back-off between attempts to dial; it doubles with each attempt, up to `maxBackoffMs`. */
	readonly minBackoffMs: number;
	readonly maxBackoffMs: number;
	/** Time without a link after which the VM with the greater id dials; the other VM dials at once. */
	readonly fallbackDialMs: number;
	readonly maxFrameBytes: number;
	/** A link is closed if more claim requests and replies than this are queued for its peer. */
	readonly maxPendingClaims: number;
};

export type LinkMeshOptions = {
	readonly vm: string;
	readonly dataCentre: string;
	readonly incarnation: string;
	readonly listen: {readonly host: string; readonly port: number};
	readonly clock: Clock;
	/** Returns a random number, uniform in [0, 1). */
	readonly random: () => number;
	/** Returns the rows of one table as JSON, for `readTable` of a peer. */
	readonly onReadTable: (table: string) => string | Promise<string>;
	/** Keys for mutual TLS; without them the links are plain TCP. */
	readonly tls?: TlsSource | undefined;
	/** Returns the wall-clock time in milliseconds; used only for the validity dates of certificates. */
	readonly dateMs?: () => number;
	readonly hooks?: LinkHooks;
	readonly limits?: Partial<LinkLimits>;
};

/** The links of one VM. */
export type LinkMesh = {
	/** `IP:PORT` that the mesh listens on. */
	readonly address: string;
	/** Replaces the peers to keep links with. Links with VMs that are no longer peers are closed. */
	readonly setPeers: (peers: readonly Peer[]) => void;
	/**
	 * Merges a part into the peer's next frame. Without a link to the peer, the part is dropped.
	 * Tasks queue their current state again when the peer is reported as up.
	 */
	readonly queue: (vm: string, part: FramePart) => void;
	/** Sends the queued parts to one VM, or to all, without waiting for the tick. */
	readonly flush: (vm?: string) => void;
	readonly onFrame: (listener: FrameListener) => void;
	readonly onPeer: (listener: PeerListener) => void;
	/** Returns the ids of the VMs with a link in use. */
	readonly linked: () => readonly string[];
	/** Returns the rows of a peer's table, as JSON. Rejects with PeerUnreachable. */
	readonly readTable: (vm: string, table: string, timeoutMs: number) => Promise<string>;
	readonly stats: () => LinkStats;
	readonly close: () => Promise<void>;
};
