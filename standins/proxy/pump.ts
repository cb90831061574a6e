/** Forwards the bytes of one direction of a connection, subject to the link's faults. */
import {type Socket} from 'node:net';
import {type Clock} from '../../src/core/clock.js';
import {type LinkFaults} from './settings.js';

const MAX_BUFFERED_BYTES = 1024 * 1024;

type Chunk = {readonly dueMs: number; readonly data: Uint8Array | undefined};

/** Faults that a pump applies, and its callback. */
type PumpSpec = {
	readonly clock: Clock;
	readonly faults: () => LinkFaults;
	/** Whether the faults stop the bytes of this direction. */
	readonly isHeld: (faults: LinkFaults) => boolean;
	readonly onForward: (bytes: number) => void;
};

export class Pump {
	/** Chunks not yet forwarded; a chunk without data marks the end of the stream. */
	readonly #chunks: Chunk[] = [];
	#bufferedBytes = 0;
	#timer: NodeJS.Timeout | undefined;

	constructor(
		private readonly from: Socket,
		private readonly to: Socket,
		private readonly spec: PumpSpec,
	) {
		from.on('data', data => {
			this.#add(data);
		});
		from.on('end', () => {
			this.#add(undefined);
		});
	}

	get #held(): boolean {
		return this.spec.isHeld(this.spec.faults());
	}

	/** Forwards the chunks that are due. Must also be called when the faults change. */
	flush(): void {
		clearTimeout(this.#timer);
		while (this.#chunks.length > 0 && !this.#held) {
			const waitMs = (this.#chunks[0]?.dueMs ?? 0) - this.spec.clock.nowMs();
			if (waitMs > 0) {
				this.#timer = setTimeout(() => {
					this.flush();
				}, waitMs);
				break;
			}

			this.#forward(this.#chunks.shift()?.data);
		}

		if (this.#bufferedBytes < MAX_BUFFERED_BYTES && this.from.isPaused()) {
			this.from.resume();
		}
	}

	stop(): void {
		clearTimeout(this.#timer);
		this.#chunks.length = 0;
	}

	#add(data: Uint8Array | undefined): void {
		this.#chunks.push({dueMs: this.spec.clock.nowMs() + this.spec.faults().delayMs, data});
		this.#bufferedBytes += data?.length ?? 0;
		if (this.#bufferedBytes >= MAX_BUFFERED_BYTES) {
			this.from.pause();
		}

		this.flush();
	}

	#forward(data: Uint8Array | undefined): void {
		if (data === undefined) {
			this.to.end();
			return;
		}

		this.#bufferedBytes -= data.length;
		this.to.write(data);
		this.spec.onForward(data.length);
	}
}
