/** Service that teams received through other data centres, added to their fair shares. */
import {type FairShares} from '../fair/fair-shares.js';
import {type Exchange, type TeamService} from './messages.js';

/** Silence after which another data centre counts as cut off. */
const PARTITION_AFTER_MS = 1000;

type LastExchange = {readonly incarnation: string; readonly atMs: number; readonly teams: ReadonlyMap<string, TeamService>};

export class RemoteShares {
	readonly #shares: FairShares;
	readonly #lastExchanges = new Map<string, LastExchange>();

	constructor(shares: FairShares) {
		this.#shares = shares;
	}

	/**
	 * Charges what is new since the last exchange with that data centre. The first word
	 * of a dispatcher is only a baseline: what came before it is neither owed nor due.
	 * After a silence the charge is bounded by `clamp` cost units, so that a rejoin puts
	 * no team in a long debt.
	 */
	apply(exchange: Exchange, maxLead: number, backlogged: ReadonlyMap<string, number>, nowMs: number): void {
		const before = this.#lastExchanges.get(exchange.dataCentre);
		const teams = new Map(exchange.teams.map(service => [service.team, service]));
		this.#lastExchanges.set(exchange.dataCentre, {incarnation: exchange.incarnation, atMs: nowMs, teams});
		for (const [team, {promised}] of teams) {
			this.#shares.addPending(team, promised - (before?.teams.get(team)?.promised ?? 0));
		}

		if (before?.incarnation !== exchange.incarnation) {
			return;
		}

		const wasPartitioned = nowMs > before.atMs + PARTITION_AFTER_MS;
		for (const [team, {charged}] of teams) {
			const delta = charged - (before.teams.get(team)?.charged ?? 0);
			if (delta !== 0 && wasPartitioned) {
				this.#shares.addConfirmedBounded(team, delta, maxLead, backlogged.keys());
			} else if (delta !== 0) {
				this.#shares.addConfirmed(team, delta);
			}
		}
	}
}
