/** Charges teams for the service that they received in other data centres. */
import {type FairShares} from '../fair/fair-shares.js';
import {type Exchange, type TeamService} from './messages.js';

/** Time without an exchange after which another data centre counts as partitioned from this one. */
const PARTITION_AFTER_MS = 1000;

type LastExchange = {readonly incarnation: string; readonly atMs: number; readonly teams: ReadonlyMap<string, TeamService>};

export class RemoteShares {
	readonly #shares: FairShares;
	readonly #lastExchanges = new Map<string, LastExchange>();

	constructor(shares: FairShares) {
		this.#shares = shares;
	}

	/**
	 * Charges the service that is new since the last exchange from the same data centre. The
	 * first exchange of a dispatcher only sets a baseline; earlier service is not charged.
	 * After a partition, the charge puts a team at most `maxLead` cost units ahead of the
	 * backlogged team with the least service, so that no team goes unserved for long.
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
