/**
 * The sending half of a stream: an async iterable that buffers at most one frame until the
 * transport reads it. While a frame is buffered, the mesh queues and merges further parts.
 */
import {type MessageInitShape} from '@bufbuild/protobuf';
import {type FrameSchema} from '../../gen/jackdawwood/v1/control_pb.js';

export type FrameInit = MessageInitShape<typeof FrameSchema>;

export type Outbox = {
	readonly frames: AsyncIterable<FrameInit>;
	/** Whether the stream is open and the transport has read the last frame. */
	readonly isReady: () => boolean;
	/** Passes a frame to the transport. A call while a frame is still buffered replaces that frame. */
	readonly send: (frame: FrameInit) => void;
	/** Ends the stream, with an error if one is given. A buffered frame is delivered before the end. */
	readonly end: (err?: Error) => void;
};

type PendingRead = {
	readonly resolve: (result: IteratorResult<FrameInit, undefined>) => void;
	readonly reject: (err: Error) => void;
};

export const createOutbox = (): Outbox => {
	let held: FrameInit | undefined;
	let pendingRead: PendingRead | undefined;
	let ended: {readonly err: Error | undefined} | undefined;

	const finish = ({resolve, reject}: PendingRead, err: Error | undefined): void => {
		if (err) {
			reject(err);
		} else {
			resolve({done: true, value: undefined});
		}
	};

	const pull = (next: PendingRead): void => {
		if (held) {
			const value = held;
			held = undefined;
			next.resolve({done: false, value});
		} else if (ended) {
			finish(next, ended.err);
		} else {
			pendingRead = next;
		}
	};

	const end = (err?: Error): void => {
		ended ??= {err};
		const next = pendingRead;
		pendingRead = undefined;
		if (next) {
			finish(next, ended.err);
		}
	};

	const iterator: AsyncIterator<FrameInit, undefined> = {
		next: async () => new Promise((resolve, reject) => {
			pull({resolve, reject});
		}),
		async return() {
			end();
			return {done: true, value: undefined};
		},
		async throw(err: Error) {
			end();
			throw err;
		},
	};

	return {
		frames: {[Symbol.asyncIterator]: () => iterator},
		isReady: () => !held && !ended,
		send(frame) {
			const next = pendingRead;
			pendingRead = undefined;
			if (next) {
				next.resolve({done: false, value: frame});
			} else {
				held = frame;
			}
		},
		end,
	};
};
