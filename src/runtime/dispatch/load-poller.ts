/** Polls the load reports of the targets that this VM dispatches. */
import {Agent} from 'undici';
import * as z from 'zod';
import {type LoadReport} from '../../core/target/types.js';
import {createMeteredPool} from '../http/metered-pool.js';
import {readText} from '../http/read-text.js';
import {callWithin} from '../platform/call-within.js';

const POLL_INTERVAL_MS = 500;
const POLL_TIMEOUT_MS = 1000;
/** Largest load report in bytes that is read; one has a few hundred. */
const MAX_REPORT_BYTES = 65_536;

const loadSchema = z.looseObject({
	instance: z.string().default(''),
	running: z.number().nonnegative().default(0),
	waiting: z.number().nonnegative().default(0),
	cold: z.boolean().default(false),
	leaving: z.boolean().default(false),
});

export type PolledTarget = {readonly service: string; readonly target: string; readonly address: string};

export type LoadPollerOptions = {
	readonly targets: () => readonly PolledTarget[];
	/** Called after each poll; `report` is undefined if the target returned no valid one. */
	readonly onLoad: (polled: PolledTarget, report: LoadReport | undefined) => void;
};

const readLoad = async (address: string, agent: Agent): Promise<LoadReport | undefined> => {
	try {
		const text = await callWithin(POLL_TIMEOUT_MS, async signal => {
			const res = await agent.request({
				origin: `http://${address}`, path: '/load', method: 'GET', signal,
			});
			return readText(res.body, MAX_REPORT_BYTES);
		});
		const parsed = loadSchema.safeParse(JSON.parse(text));
		return parsed.success ? parsed.data : undefined;
	} catch {
		// Any error means that there is no load report.
		return undefined;
	}
};

/** Starts polling; returns a function that stops it. */
export const startLoadPoller = ({targets, onLoad}: LoadPollerOptions): (() => void) => {
	const pending = new Set<string>();
	const agent = new Agent({factory: origin => createMeteredPool(String(origin), {})});
	const poll = async (polled: PolledTarget) => {
		pending.add(polled.target);
		const report = await readLoad(polled.address, agent);
		pending.delete(polled.target);
		onLoad(polled, report);
	};

	const timer = setInterval(() => {
		for (const polled of targets()) {
			if (!pending.has(polled.target)) {
				void poll(polled);
			}
		}
	}, POLL_INTERVAL_MS);
	return () => {
		clearInterval(timer);
		void agent.destroy();
	};
};
