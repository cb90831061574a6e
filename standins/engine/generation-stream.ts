/** Event stream of one generation. Its reader may disconnect and resume; generated tokens are kept. */
import {type ServerResponse} from 'node:http';
import {resetConnection} from '../shared/http-service.js';
import {tokenText, type ExpectedOutput} from './tokens.js';

export type Usage = {
	readonly prompt_tokens: number;
	readonly completion_tokens: number;
	readonly total_tokens: number;
};

export type StreamSpec = {
	readonly requestId: string;
	readonly wanted: ExpectedOutput;
	readonly chat: boolean;
	readonly promptTokens: number;
	/** Tokens after which the first reader's connection is reset; undefined for never. */
	readonly dropAfterTokens: number | undefined;
	/** Called when the reader has disconnected before the end. */
	readonly onDetached: () => void;
};

/** Returns the `usage` object of a response. */
export const usageOf = (promptTokens: number, completionTokens: number): Usage => ({
	prompt_tokens: promptTokens,
	completion_tokens: completionTokens,
	total_tokens: promptTokens + completionTokens,
});

export class GenerationStream {
	#generated = 0;
	#reader: ServerResponse | undefined;
	#next = 0;
	#dropAfterTokens: number | undefined;

	constructor(readonly spec: StreamSpec) {
		this.#dropAfterTokens = spec.dropAfterTokens;
	}

	get detached(): boolean {
		return this.#reader === undefined;
	}

	/** Makes `res` the reader and sends it the events from token `offset` on, as they are generated. */
	attach(res: ServerResponse, offset: number, headers: Readonly<Record<string, string>>): void {
		this.#reader?.destroy();
		this.#reader = res;
		this.#next = offset;
		res.writeHead(200, {...headers, 'content-type': 'text/event-stream', 'cache-control': 'no-cache'});
		res.flushHeaders();
		res.once('close', () => {
			this.#detach(res);
		});
		this.#flush();
	}

	/** Sets the number of tokens generated so far and sends the new ones. */
	setGenerated(generated: number): void {
		this.#generated = generated;
		this.#flush();
	}

	/** Closes the reader's connection without the last event. */
	cancel(): void {
		this.#reader?.destroy();
	}

	#detach(res: ServerResponse): void {
		if (this.#reader !== res) {
			return;
		}

		this.#reader = undefined;
		if (!res.writableFinished) {
			this.spec.onDetached();
		}
	}

	#flush(): void {
		const reader = this.#reader;
		if (!reader) {
			return;
		}

		while (this.#next < this.#generated) {
			if (this.#next === this.#dropAfterTokens) {
				this.#dropAfterTokens = undefined;
				resetConnection(reader);
				return;
			}

			reader.write(this.#event(this.#next));
			this.#next += 1;
		}

		if (this.#next >= this.spec.wanted.tokens && !reader.writableEnded) {
			reader.end('data: [DONE]\n\n');
		}
	}

	#event(index: number): string {
		const {requestId, wanted, chat, promptTokens} = this.spec;
		const text = tokenText(wanted.nonce, index);
		const last = index === wanted.tokens - 1;
		const choice = chat ? {delta: {content: text}} : {text};
		return `data: ${JSON.stringify({
			id: requestId,
			object: chat ? 'chat.completion.chunk' : 'text_completion',
			offset: index,
			choices: [{index: 0, ...choice, finish_reason: last ? 'stop' : null}],
			...(last && {usage: usageOf(promptTokens, wanted.tokens)}),
		})}\n\n`;
	}
}
