/** Injects the scheduled faults into a fleet, by kind. */
import {setTimeout as delay} from 'node:timers/promises';
import PQueue from 'p-queue';
import {type Fleet} from '../fleet/fleet.js';
import {
	dataCentreState, targetState, teamWeight, writeUntilAccepted,
} from './config-writes.js';
import {Partitions} from './partitions.js';
import {type HistoryLog} from './history-log.js';
import {type FaultKind, type ScheduledFault} from './types.js';

const PLATFORM_DELAY_MS = 500;
/** Longest time for a planned stop of a router, after which it is killed. It exceeds the time that any request of the load may be queued and run. */
const STOP_TIMEOUT_MS = 25_000;
const LOST_RESPONSES = 3;
const FAULTY_RESPONSES = 3;
const DROP_AFTER_TOKENS = 4;
const RESPONSE_DELAY_MS = 1500;
const RACING_WEIGHTS = [1, 2, 3] as const;

type Inject = (fault: ScheduledFault) => Promise<void>;

const wallMs = (): number => Date.now();

export class FaultInjector {
	readonly #partitions: Partitions;
	/** One queue for each router, so that kills and replacements of its process do not overlap. */
	readonly #processQueues = new Map<string, PQueue>();
	readonly #byKind: Readonly<Record<FaultKind, Inject>> = {
		'kill-router': async ({place}) => this.#runInSequence(place, async () => this.#kill(place)),
		'replace-router': async ({place}) => this.#runInSequence(place, async () => this.#replace(place)),
		'pause-router': async fault => this.#pause(fault),
		'cut-data-centre': async fault => this.#partition(fault),
		'platform-hang': async fault => this.#platformFault(fault, {outage: 'hang'}, {outage: 'none'}),
		'platform-refuse': async fault => this.#platformFault(fault, {outage: 'refuse'}, {outage: 'none'}),
		'platform-slow': async fault => this.#platformFault(fault, {slowMs: PLATFORM_DELAY_MS}, {slowMs: 0}),
		'lose-platform-answers': async () => this.fleet.platformControl({loseNextAnswers: LOST_RESPONSES}),
		'restart-target': async ({place}) => this.fleet.targetControl(place, {restart: true}),
		'drop-streams': async ({place}) => this.fleet.targetControl(place, {dropAfterTokens: DROP_AFTER_TOKENS, count: FAULTY_RESPONSES}),
		'late-answers': async ({place}) => this.fleet.targetControl(place, {lateAnswerMs: RESPONSE_DELAY_MS, count: FAULTY_RESPONSES}),
		'crossed-answers': async ({place}) => this.fleet.targetControl(place, {crossedAnswer: true, count: FAULTY_RESPONSES}),
		'lose-answers': async ({place}) => this.fleet.targetControl(place, {loseAnswer: true, count: FAULTY_RESPONSES}),
		'drain-target': async fault => this.#drain(fault),
		'take-data-centre-out': async fault => this.#takeOut(fault),
		'race-operators': async () => this.#raceOperators(),
	};

	constructor(private readonly fleet: Fleet, private readonly log: HistoryLog) {
		this.#partitions = new Partitions(fleet);
	}

	/** Injects one fault; resolves when it is over and undone. */
	async inject(fault: ScheduledFault): Promise<void> {
		await this.#byKind[fault.kind](fault);
	}

	async #runInSequence(router: string, work: () => Promise<void>): Promise<void> {
		const queue = this.#processQueues.get(router) ?? new PQueue({concurrency: 1});
		this.#processQueues.set(router, queue);
		await queue.add(work);
	}

	async #kill(router: string): Promise<void> {
		this.log.addKill(wallMs());
		await this.fleet.restart(router);
	}

	async #replace(router: string): Promise<void> {
		const info = this.fleet.router(router);
		await this.fleet.platform.putVms([info], 'leaving');
		this.log.addStopCode(await this.fleet.process(router).stop(STOP_TIMEOUT_MS));
		await this.fleet.platform.putVms([info]);
		await this.fleet.startRouter(router);
	}

	async #pause({place, forMs}: ScheduledFault): Promise<void> {
		this.fleet.pause(place);
		await delay(forMs);
		this.fleet.resume(place);
	}

	async #partition({place, forMs}: ScheduledFault): Promise<void> {
		const fromMs = wallMs();
		await this.#partitions.partition(place);
		await delay(forMs);
		await this.#partitions.restore(place);
		this.log.addUnreachable({fromMs, toMs: wallMs()});
	}

	async #platformFault({forMs}: ScheduledFault, begin: Readonly<Record<string, unknown>>, end: Readonly<Record<string, unknown>>): Promise<void> {
		const fromMs = wallMs();
		await this.fleet.platformControl(begin);
		await delay(forMs);
		await this.fleet.platformControl(end);
		this.log.addUnreachable({fromMs, toMs: wallMs()});
	}

	async #drain({place, forMs}: ScheduledFault): Promise<void> {
		this.log.addAcceptedVersion(await writeUntilAccepted(this.fleet, targetState(place, 'draining')));
		const fromMs = wallMs();
		await delay(forMs);
		this.log.addAbsence({fromMs, toMs: wallMs(), targets: [place]});
		this.log.addAcceptedVersion(await writeUntilAccepted(this.fleet, targetState(place, 'in')));
	}

	async #takeOut({place, forMs}: ScheduledFault): Promise<void> {
		this.log.addAcceptedVersion(await writeUntilAccepted(this.fleet, dataCentreState(place, 'out')));
		const fromMs = wallMs();
		await delay(forMs);
		const targets = this.fleet.targets.filter(({dataCentre}) => dataCentre === place).map(({id}) => id);
		this.log.addAbsence({fromMs, toMs: wallMs(), targets});
		this.log.addAcceptedVersion(await writeUntilAccepted(this.fleet, dataCentreState(place, 'in')));
	}

	/** Writes several changes at once, as operators in a race do. Records the accepted versions; a rejected change is not retried. */
	async #raceOperators(): Promise<void> {
		const outcomes = await Promise.allSettled(RACING_WEIGHTS.map(async weight => this.fleet.changeConfig(teamWeight('team-16', weight))));
		for (const outcome of outcomes) {
			if (outcome.status === 'fulfilled') {
				this.log.addAcceptedVersion(outcome.value);
			}
		}
	}
}
