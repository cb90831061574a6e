/** Stand-in of a model engine with continuous batching, streams, a prefix cache and cold start. */
import {type ServerResponse} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {monotonicClock} from '../../src/runtime/monotonic-clock.js';
import {
	readJson, resetConnection, sendJson, startHttpService, type HttpService,
} from '../shared/http-service.js';
import {TargetHost, type RunStart} from '../shared/target-host.js';
import {type HttpRequest, type Route, type Standin} from '../shared/types.js';
import {Batch, type Generation} from './batch.js';
import {parseCompletionRequest, type CompletionRequest} from './completion-request.js';
import {GenerationStream, usageOf} from './generation-stream.js';
import {PrefixCache} from './prefix-cache.js';
import {type EngineSettings} from './settings.js';
import {outputText, type ExpectedOutput} from './tokens.js';

const PROMPT_TOKEN_COST = 0.1;

/** Request that a response claims to belong to; an earlier request when that fault is injected. */
type ResponseIdentity = {readonly requestId: string; readonly wanted: ExpectedOutput};

/** A generation that can be cancelled or, if it is a stream, resumed. */
type ActiveGeneration = {readonly stream: GenerationStream | undefined; readonly cancel: () => void};

class Engine {
	readonly #host: TargetHost;
	readonly #batch: Batch;
	readonly #cache: PrefixCache;
	readonly #streams = new Map<string, ActiveGeneration>();
	#service: HttpService | undefined;
	#previous: ResponseIdentity | undefined;

	constructor(private readonly cfg: EngineSettings) {
		this.#cache = new PrefixCache(cfg.cacheBlocks);
		this.#host = new TargetHost('engine', cfg, monotonicClock, {
			onRestart: () => {
				this.#dropAllWork();
			},
			cachedPrefixes: () => this.#cache.size,
		});
		this.#batch = new Batch(cfg, monotonicClock, () => this.#host.state);
	}

	async start(): Promise<Standin> {
		const service = await startHttpService(this.cfg.port, [...this.#host.routes, ...this.#routes]);
		this.#service = service;
		return {
			address: service.address,
			close: async () => {
				this.#host.close();
				this.#batch.clear();
				await service.close();
			},
		};
	}

	get #routes(): readonly Route[] {
		return [
			['POST', '/v1/completions', async (req, res) => this.#complete(req, res, false)],
			['POST', '/v1/chat/completions', async (req, res) => this.#complete(req, res, true)],
			['GET', '/v1/streams/:id', async (req, res) => this.#resume(req, res)],
			['DELETE', '/v1/streams/:id', async (req, res) => this.#cancel(req, res)],
		];
	}

	/** Drops all work and cached prefixes, as at a crash of the process. */
	#dropAllWork(): void {
		this.#service?.resetAll();
		this.#batch.clear();
		this.#cache.clear();
		this.#streams.clear();
	}

	async #complete(req: HttpRequest, res: ServerResponse, chat: boolean): Promise<void> {
		const body = parseCompletionRequest(await readJson(req), chat);
		const run = await this.#host.admit(req, res, {businessId: body.wanted.nonce, team: body.team});
		if (!run) {
			return;
		}

		const identity = this.#identity(run, body);
		const lateMs = this.#host.state.takeLateAnswerMs();
		if (lateMs > 0) {
			await delay(lateMs);
		}

		if (!this.#host.isRunning(run)) {
			return;
		}

		if (body.stream) {
			this.#sendStream(run, body, identity, res);
		} else {
			this.#sendUnstreamed(run, body, identity, res);
		}
	}

	#identity(run: RunStart, {wanted}: CompletionRequest): ResponseIdentity {
		const own = {requestId: run.requestId, wanted};
		const identity = this.#previous && this.#host.state.takeCrossedAnswer() ? this.#previous : own;
		this.#previous = own;
		return identity;
	}

	#sendStream(run: RunStart, body: CompletionRequest, identity: ResponseIdentity, res: ServerResponse): void {
		const generation = this.#generation(body, () => {
			stream.setGenerated(generation.generated);
			if (generation.generated >= generation.tokens) {
				this.#end(run, body, generation, 'answered');
				this.#removeStreamLater(run.requestId, active);
			}
		});
		const stream = new GenerationStream({
			...identity, chat: body.chat, promptTokens: body.promptTokens,
			dropAfterTokens: this.#host.state.takeDropAfterTokens(),
			onDetached: () => {
				this.#cancelLater(run, stream, active);
			},
		});
		const active: ActiveGeneration = {
			stream,
			cancel: () => {
				this.#batch.remove(generation);
				this.#end(run, body, generation, 'cancelled');
				this.#removeStream(run.requestId, active);
				stream.cancel();
			},
		};
		this.#streams.set(run.requestId, active);
		stream.attach(res, 0, this.#host.headers(identity.requestId));
		this.#batch.add(generation);
	}

	#sendUnstreamed(run: RunStart, body: CompletionRequest, identity: ResponseIdentity, res: ServerResponse): void {
		const generation = this.#generation(body, () => {
			if (generation.generated < generation.tokens) {
				return;
			}

			this.#end(run, body, generation, 'answered');
			this.#streams.delete(run.requestId);
			if (this.#host.state.takeLoseAnswer()) {
				resetConnection(res);
				return;
			}

			sendJson(res, 200, this.#unstreamedBody(body, identity), this.#host.headers(identity.requestId));
		});
		const cancel = (): void => {
			this.#batch.remove(generation);
			this.#end(run, body, generation, 'cancelled');
			this.#streams.delete(run.requestId);
			res.destroy();
		};

		this.#streams.set(run.requestId, {stream: undefined, cancel});
		res.once('close', () => {
			if (!res.writableFinished) {
				cancel();
			}
		});
		this.#batch.add(generation);
	}

	#unstreamedBody(body: CompletionRequest, {requestId, wanted}: ResponseIdentity): unknown {
		const text = outputText(wanted);
		const choice = body.chat ? {message: {role: 'assistant', content: text}} : {text};
		return {
			id: requestId,
			object: body.chat ? 'chat.completion' : 'text_completion',
			model: body.model,
			choices: [{index: 0, ...choice, finish_reason: 'stop'}],
			usage: usageOf(body.promptTokens, wanted.tokens),
		};
	}

	#generation(body: CompletionRequest, onToken: () => void): Generation {
		const uncached = Math.max(0, body.promptTokens - this.#cache.use(body.prompt));
		return {
			promptMs: uncached * this.cfg.promptTokenMs, generated: 0, tokens: body.wanted.tokens, onToken,
		};
	}

	#end(run: RunStart, body: CompletionRequest, generation: Generation, outcome: 'answered' | 'cancelled'): void {
		this.#host.end(run, outcome, generation.generated + (PROMPT_TOKEN_COST * body.promptTokens));
	}

	#removeStream(requestId: string, active: ActiveGeneration): void {
		if (this.#streams.get(requestId) === active) {
			this.#streams.delete(requestId);
		}
	}

	#removeStreamLater(requestId: string, active: ActiveGeneration): void {
		setTimeout(() => {
			this.#removeStream(requestId, active);
		}, this.cfg.streamKeepMs).unref();
	}

	/** Cancels a stream that is not resumed within `streamKeepMs`. */
	#cancelLater(run: RunStart, stream: GenerationStream, active: ActiveGeneration): void {
		setTimeout(() => {
			if (stream.detached && this.#host.isRunning(run)) {
				active.cancel();
			}
		}, this.cfg.streamKeepMs).unref();
	}

	async #resume(req: HttpRequest, res: ServerResponse): Promise<void> {
		await this.#host.waitWhileFrozen();
		const id = req.params.id ?? '';
		const stream = this.#streams.get(id)?.stream;
		if (!stream) {
			sendJson(res, 404, {error: {name: 'StreamUnknown'}}, this.#host.headers(id));
			return;
		}

		stream.attach(res, Number(req.query.offset ?? 0), this.#host.headers(id));
	}

	async #cancel(req: HttpRequest, res: ServerResponse): Promise<void> {
		await this.#host.waitWhileFrozen();
		const id = req.params.id ?? '';
		const active = this.#streams.get(id);
		active?.cancel();
		sendJson(res, active ? 200 : 404, {id, cancelled: Boolean(active)}, this.#host.headers(id));
	}
}

/** Starts the engine stand-in on loopback. */
export const startEngine = async (cfg: EngineSettings): Promise<Standin> => new Engine(cfg).start();
