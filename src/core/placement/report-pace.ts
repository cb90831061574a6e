/**
 * Chooses when a VM sends its next load report. A VM whose report tells nothing new, in a fleet without requests,
 * reports at a lower rate; anything that the others have to learn soon brings back the full rate.
 */
import {type ExchangePlan} from './exchange-plan.js';

/**
 * Milliseconds since the store's last response to any VM from which the store may be unavailable. More than a short
 * call for changes takes, so that responses come more often than this while the store serves the fleet.
 */
const MAX_REST_STORE_AGE_MS = 2500;

/** What a report tells. */
export type ReportNews = {
	/** Whether the report has figures that change all the time: loads, usage of teams, evidence, an open roll-out or an outage. */
	readonly hasFigures: boolean;
	/** The facts of the report that change rarely, such as the versions of the store's tables. */
	readonly facts: string;
	/** Milliseconds since the store last responded to any VM. */
	readonly storeAgeMs: number;
	/** Number of other VMs that reports are sent to. */
	readonly peers: number;
};

export class ReportPace {
	#facts: string | undefined;
	#peers = 0;
	#fullRateUntilMs = -Infinity;

	/** Whether a report would tell what the last one did not, or figures that change all the time. */
	isNews({hasFigures, facts, storeAgeMs}: Omit<ReportNews, 'peers'>): boolean {
		return hasFigures || facts !== this.#facts || storeAgeMs > MAX_REST_STORE_AGE_MS;
	}

	/** Records that something happened of which the next reports may tell. */
	noteEvent(plan: ExchangePlan, nowMs: number): void {
		this.#extend(nowMs + plan.validMs);
	}

	/** Records the report that is sent now; returns the milliseconds to the next one. */
	noteReport(news: ReportNews, plan: ExchangePlan, nowMs: number): number {
		if (this.isNews(news)) {
			this.#facts = news.facts;
			this.#extend(nowMs + plan.validMs);
		}

		// A VM that started at the same time may know this one only from its reports, so each VM gets one soon.
		if (news.peers > this.#peers) {
			this.#extend(nowMs + (Math.ceil(news.peers / plan.peersPerReport) * plan.periodMs));
		}

		this.#peers = news.peers;
		return nowMs < this.#fullRateUntilMs ? plan.periodMs : plan.restPeriodMs;
	}

	#extend(untilMs: number): void {
		this.#fullRateUntilMs = Math.max(this.#fullRateUntilMs, untilMs);
	}
}
