/** Cache of prompt prefixes with a maximum size and least-recently-used eviction. */

const BLOCK_TOKENS = 16;

export class PrefixCache {
	/** Cached prefixes in order of their last use: a map keeps the order of insertion. */
	readonly #blocks = new Map<string, true>();

	readonly #maxBlocks: number;

	constructor(maxBlocks: number) {
		this.#maxBlocks = maxBlocks;
	}

	get size(): number {
		return this.#blocks.size;
	}

	/** Returns how many leading tokens of the prompt were cached, and caches all prefixes of the prompt. */
	use(prompt: string): number {
		const words = prompt.split(/\s+/v);
		let cached = 0;
		let contiguous = true;
		for (let end = BLOCK_TOKENS; end <= words.length; end += BLOCK_TOKENS) {
			const key = words.slice(0, end).join(' ');
			contiguous &&= this.#blocks.has(key);
			cached = contiguous ? end : cached;
			this.#touch(key);
		}

		return cached;
	}

	clear(): void {
		this.#blocks.clear();
	}

	#touch(key: string): void {
		this.#blocks.delete(key);
		this.#blocks.set(key, true);
		if (this.#blocks.size > this.#maxBlocks) {
			const [oldest] = this.#blocks.keys();
			this.#blocks.delete(oldest ?? key);
		}
	}
}
