/**
 * Claims idempotency keys in the platform's table service. A request claims a key by inserting
 * a row for it on condition that there is none, so that at most one request in the fleet holds it.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {
	claimRowKey, interpretClaimRow, finalClaimState, type ClaimRow, type ClaimState,
} from '../../core/attempt/claim-row.js';
import {type Clock} from '../../core/clock.js';
import {RefusalError} from '../../core/errors/refusal-error.js';
import {ClaimUnavailable, KeyInProgress} from '../../core/errors/refusals-data.js';
import {type Metrics} from '../observe/metrics.js';
import {type PlatformClient, type RowConflict} from '../platform/types.js';
import {type Claim, type KeyClaimRequest, type TableClaims} from './types.js';
import {createWriteBatcher, type WriteBatcher, type WriteResult} from './write-batcher.js';

const TABLE = 'claims';
const RETRY_AFTER_MS = 1000;
/** Most attempts to insert a row when the platform is unavailable. */
const MAX_INSERT_ATTEMPTS = 2;
const INSERT_RETRY_MS = 200;
/** Most attempts to write the final state of a claim. */
const MAX_SETTLE_ATTEMPTS = 5;
const SETTLE_RETRY_MS = 500;

export type TableClaimsOptions = {
	readonly platform: Pick<PlatformClient, 'transact'>;
	readonly clock: Clock;
	/** Returns a random number, uniform in [0, 1). */
	readonly random: () => number;
	/** Returns wall-clock milliseconds; used only for the time stamp in a row, which shows the row's age. */
	readonly wallMs: () => number;
	readonly metrics: Pick<Metrics, 'claims' | 'claimTime'>;
};

/** One write to the row of a claimed key. */
type ClaimUpdate = {readonly rowKey: string; readonly requestId: string; readonly state: ClaimState};

/** Revision that the row must have for a write to take effect. */
type ExpectedRevision = number | 'absent';

class PlatformClaims implements TableClaims {
	/** Ids of this VM's requests that hold a key, by row key. A second request with the key is refused without a call to the platform. */
	readonly #holders = new Map<string, string>();
	readonly #batcher: WriteBatcher;
	readonly #settling = new Set<Promise<void>>();
	#closing = false;

	readonly #options: TableClaimsOptions;

	constructor(options: TableClaimsOptions) {
		this.#options = options;
		this.#batcher = createWriteBatcher(options.platform, TABLE, options.clock);
	}

	async claim(request: KeyClaimRequest): Promise<Claim> {
		const {clock, metrics} = this.#options;
		const startMs = clock.nowMs();
		const rowKey = claimRowKey(request.team, request.key);
		const holder = this.#holders.get(rowKey);
		if (holder !== undefined) {
			metrics.claims.inc({result: 'held-here'});
			throw new RefusalError(KeyInProgress, {holder}, {retryAfterMs: RETRY_AFTER_MS});
		}

		this.#holders.set(rowKey, request.requestId);
		try {
			const revision = await this.#insert(rowKey, request.requestId, 'absent', MAX_INSERT_ATTEMPTS);
			metrics.claims.inc({result: 'new'});
			return this.#claimOf(rowKey, request.requestId, revision);
		} catch (error) {
			this.#holders.delete(rowKey);
			metrics.claims.inc({result: error instanceof RefusalError ? error.data.name : 'fault'});
			throw error;
		} finally {
			metrics.claimTime.observe((clock.nowMs() - startMs) / 1000);
		}
	}

	async close(): Promise<void> {
		this.#closing = true;
		await Promise.all(this.#settling);
		await this.#batcher.idle();
	}

	/** Inserts the row and returns its revision. Throws a refusal when the key is taken or the platform gives no definite result. */
	async #insert(rowKey: string, requestId: string, expected: ExpectedRevision, attempts: number): Promise<number> {
		const result = await this.#write({rowKey, requestId, state: 'started'}, expected);
		switch (result.kind) {
			case 'written': {
				return result.revision;
			}

			case 'conflict': {
				return this.#onConflict(rowKey, requestId, result.conflict, attempts);
			}

			case 'lost': {
				// The insert may have taken effect, or may still do so, although the request is refused. So the row is set to `not_run`.
				this.#settleInBackground(rowKey, requestId, 'not_run', 'absent');
				throw new RefusalError(ClaimUnavailable, {}, {retryAfterMs: RETRY_AFTER_MS});
			}

			case 'unavailable': {
				if (attempts > 1) {
					await delay(this.#options.random() * INSERT_RETRY_MS);
					return this.#insert(rowKey, requestId, expected, attempts - 1);
				}

				throw new RefusalError(ClaimUnavailable, {}, {retryAfterMs: result.retryAfterMs ?? RETRY_AFTER_MS});
			}
		}
	}

	async #onConflict(rowKey: string, requestId: string, {value, revision}: RowConflict, attempts: number): Promise<number> {
		if (revision === undefined) {
			// The expected row has been deleted in the meantime.
			return this.#insert(rowKey, requestId, 'absent', attempts);
		}

		const verdict = interpretClaimRow(value, requestId);
		if (verdict === 'own') {
			return revision;
		}

		if (verdict === 'free') {
			return this.#insert(rowKey, requestId, revision, attempts);
		}

		throw verdict;
	}

	async #write({rowKey, requestId, state}: ClaimUpdate, expectRevision: ExpectedRevision, isDeferrable = false): Promise<WriteResult> {
		const value: ClaimRow = {request_id: requestId, state, at_ms: this.#options.wallMs()};
		return this.#batcher.write({key: rowKey, expectRevision, value}, isDeferrable);
	}

	#claimOf(rowKey: string, requestId: string, revision: number): Claim {
		return {
			settle: (_, ran) => {
				this.#settleInBackground(rowKey, requestId, finalClaimState(ran), revision);
			},
		};
	}

	#settleInBackground(rowKey: string, requestId: string, state: ClaimState, expected: ExpectedRevision): void {
		const settling = this.#settle({rowKey, requestId, state}, expected, MAX_SETTLE_ATTEMPTS).finally(() => {
			this.#settling.delete(settling);
			if (this.#holders.get(rowKey) === requestId) {
				this.#holders.delete(rowKey);
			}
		});
		this.#settling.add(settling);
	}

	/**
	 * Writes the final state of a request to its row. When every attempt fails, the row stays
	 * `started` and the key stays taken.
	 */
	async #settle(update: ClaimUpdate, expected: ExpectedRevision, attempts: number): Promise<void> {
		const {requestId} = update;
		const result = await this.#write(update, expected, update.state !== 'not_run');
		if (result.kind === 'written' || attempts <= 1) {
			return;
		}

		if (result.kind === 'conflict') {
			const {value, revision} = result.conflict;
			if (revision !== undefined && interpretClaimRow(value, requestId) === 'own') {
				await this.#settle(update, revision, attempts - 1);
			}

			return;
		}

		if (!this.#closing) {
			await delay(SETTLE_RETRY_MS * (MAX_SETTLE_ATTEMPTS + 1 - attempts));
			await this.#settle(update, expected, attempts - 1);
		}
	}
}

/** Creates claims that are stored in the platform's table service. */
export const createTableClaims = (options: TableClaimsOptions): TableClaims => new PlatformClaims(options);
