/** Stand-in of a plain service whose debits must not be executed twice. */
import {type ServerResponse} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {monotonicClock} from '../../src/runtime/monotonic-clock.js';
import {
	readJson, resetConnection, sendJson, startHttpService, type HttpService,
} from '../shared/http-service.js';
import {TargetHost, type RunStart} from '../shared/target-host.js';
import {type HttpRequest, type Standin} from '../shared/types.js';
import {parseDebit, type Debit} from './debit.js';
import {type LedgerSettings} from './settings.js';

const READ_COST = 1;

/** A response and the request that it belongs to. */
type LedgerResponse = {readonly requestId: string; readonly cost: number; readonly body: unknown};

class Ledger {
	readonly #host: TargetHost;
	readonly #balances = new Map<string, number>();
	#service: HttpService | undefined;
	#previous: LedgerResponse | undefined;

	constructor(private readonly cfg: LedgerSettings) {
		this.#host = new TargetHost('ledger', cfg, monotonicClock, {
			onRestart: () => {
				this.#service?.resetAll();
			},
			cachedPrefixes: () => 0,
		});
	}

	async start(): Promise<Standin> {
		const service = await startHttpService(this.cfg.port, [
			...this.#host.routes,
			['POST', '/debits', async (req, res) => this.#debit(req, res)],
			// The path of debits at a router, so that callers can use the same path for both.
			['POST', '/services/:service/debits', async (req, res) => this.#debit(req, res)],
			['GET', '*', async (req, res) => this.#read(req, res)],
		]);
		this.#service = service;
		return {
			address: service.address,
			close: async () => {
				this.#host.close();
				await service.close();
			},
		};
	}

	async #debit(req: HttpRequest, res: ServerResponse): Promise<void> {
		const debit = parseDebit(await readJson(req));
		const run = await this.#host.admit(req, res, {businessId: debit.debitId, team: debit.team});
		if (run) {
			await this.#serve(run, res, {requestId: run.requestId, cost: debit.cost, body: this.#applyDebit(run, debit)});
		}
	}

	/** Applies a debit at once, even if its response is lost later, and returns the response body. */
	#applyDebit(run: RunStart, {account, amount, debitId}: Debit): unknown {
		const balance = (this.#balances.get(account) ?? 0) - amount;
		this.#balances.set(account, balance);
		return {
			request_id: run.requestId, account, balance, debit_id: debitId,
		};
	}

	async #read(req: HttpRequest, res: ServerResponse): Promise<void> {
		const team = String(req.query.team ?? '');
		const run = await this.#host.admit(req, res, {businessId: String(req.query.id ?? ''), team});
		if (run) {
			await this.#serve(run, res, {
				requestId: run.requestId, cost: READ_COST,
				body: {request_id: run.requestId, path: req.path, id: req.query.id ?? ''},
			});
		}
	}

	async #serve(run: RunStart, res: ServerResponse, own: LedgerResponse): Promise<void> {
		const {state} = this.#host;
		const response = this.#previous && state.takeCrossedAnswer() ? this.#previous : own;
		this.#previous = own;
		await delay((this.cfg.serviceMs * own.cost * state.slowFactor) + state.takeLateAnswerMs());
		await this.#host.waitWhileFrozen();
		if (!this.#host.isRunning(run)) {
			return;
		}

		this.#host.end(run, 'answered', own.cost);
		if (state.takeLoseAnswer()) {
			resetConnection(res);
			return;
		}

		sendJson(res, 200, response.body, {...this.#host.headers(response.requestId), 'x-cost': String(response.cost)});
	}
}

/** Starts the ledger stand-in on loopback. */
export const startLedger = async (cfg: LedgerSettings): Promise<Standin> => new Ledger(cfg).start();
